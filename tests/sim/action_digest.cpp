#include "sim/action_digest.h"

#include <vector>

#include "codec/codec.h"
#include "wire/cloud_protocol.h"
#include "wire/store_protocol.h"
#include "wire/user_protocol.h"
#include "wire/worker_protocol.h"

namespace bendtide::sim {

namespace {

std::vector<std::string> fields_of(const wire::HttpRequest& request) {
  return {request.method, request.target, request.body};
}

/// Returns the encoded fields of an action as they are sent; none for a log line.
struct Encoder {
  const std::string& host;

  std::vector<std::string> operator()(const StoreCall& call) const {
    return fields_of(wire::request_of(call.request));
  }
  std::vector<std::string> operator()(const CloudCall& call) const {
    return fields_of(wire::request_of(call.request));
  }
  std::vector<std::string> operator()(const WorkerCall& call) const {
    std::vector<std::string> fields = fields_of(wire::request_of(call.request));
    fields.push_back(call.request.address);
    return fields;
  }
  std::vector<std::string> operator()(const PeerSend& send) const {
    return {send.host, codec::encode({host, send.message})};
  }
  std::vector<std::string> operator()(const AnswerUser& answer) const {
    return {std::to_string(answer.request), std::to_string(answer.reply.status), wire::body_of(answer.reply),
            std::to_string(answer.reply.retry_after_s)};
  }
  std::vector<std::string> operator()(const AnswerHeartbeat& answer) const {
    return {std::to_string(answer.request), std::to_string(answer.reply.status), wire::body_of(answer.reply),
            answer.reply.redirect};
  }
  std::vector<std::string> operator()(const AnswerAdmin& answer) const {
    return {std::to_string(answer.request), std::to_string(answer.status), answer.body.dump()};
  }
  std::vector<std::string> operator()(const LogLine&) const { return {}; }
};

}  // namespace

void ActionDigest::add(const std::string& host, const Action& action) {
  const std::vector<std::string> fields = std::visit(Encoder{host}, action);
  if (fields.empty()) return;
  ++actions_;
  add_field(host);
  add_field(std::to_string(action.index()));
  for (const std::string& field : fields) add_field(field);
}

void ActionDigest::add_field(std::string_view bytes) {
  constexpr std::uint64_t prime = 0x100000001b3;
  auto add_byte = [this](unsigned char byte) { value_ = (value_ ^ byte) * prime; };
  for (std::size_t rest = bytes.size(); rest > 0; rest >>= 8)
    add_byte(static_cast<unsigned char>(rest & 0xff));
  add_byte(0);
  for (const char byte : bytes) add_byte(static_cast<unsigned char>(byte));
}

}  // namespace bendtide::sim
