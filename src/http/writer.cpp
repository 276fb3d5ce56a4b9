#include "http/message.h"

namespace bendtide::http {

namespace {

const char* reason_phrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 413:
      return "Content Too Large";
    case 421:
      return "Misdirected Request";
    case 422:
      return "Unprocessable Content";
    case 431:
      return "Request Header Fields Too Large";
    case 503:
      return "Service Unavailable";
    default:
      return "Status";
  }
}

}  // namespace

std::string write_request(std::string_view method, std::string_view target, std::string_view host,
                          std::string_view body) {
  std::string out;
  out.reserve(128 + target.size() + body.size());
  out.append(method).append(" ").append(target).append(" HTTP/1.1\r\nHost: ").append(host).append("\r\n");
  if (!body.empty()) out.append("Content-Type: application/json\r\n");
  if (!body.empty() || method != "GET")
    out.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
  return out.append("\r\n").append(body);
}

std::string write_response(int status, std::string_view body, bool keep_alive, int retry_after_s,
                           std::string_view type) {
  std::string out;
  out.reserve(160 + body.size());
  out.append("HTTP/1.1 ")
      .append(std::to_string(status))
      .append(" ")
      .append(reason_phrase(status))
      .append("\r\n");
  out.append("Content-Type: ")
      .append(type)
      .append("\r\nContent-Length: ")
      .append(std::to_string(body.size()))
      .append("\r\n");
  if (retry_after_s > 0) out.append("Retry-After: ").append(std::to_string(retry_after_s)).append("\r\n");
  if (!keep_alive) out.append("Connection: close\r\n");
  return out.append("\r\n").append(body);
}

}  // namespace bendtide::http
