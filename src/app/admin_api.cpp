#include "app/admin_api.h"

#include <algorithm>

namespace bendtide {

namespace {

using Kind = AdminRequest::Kind;

constexpr Micros kReplyTimeout = millis(4500);  ///< the core's time to answer a request
constexpr char kMetricsType[] = "text/plain; version=0.0.4";

/// A resource that is answered by the core.
struct Resource {
  const char* path;
  Kind kind;
};
constexpr Resource kResources[] = {{"/admin/settings", Kind::policy},
                                   {"/admin/parts", Kind::shards},
                                   {"/admin/machines", Kind::machines},
                                   {"/admin/jobs", Kind::jobs},
                                   {"/admin/negotiations", Kind::negotiations}};

io::Task<HttpReply> answer_error(int status, std::string reason) {
  co_return HttpReply{status, Value{{"error", reason}}.dump(), 0, kJsonType};
}

}  // namespace

io::Task<HttpReply> AdminApi::answer(const http::Message& request) {
  if (request.target == "/admin/metrics" && request.method == "GET") return answer_metrics();
  const auto resource =
      std::find_if(std::begin(kResources), std::end(kResources),
                   [&](const Resource& candidate) { return request.target == candidate.path; });
  if (resource == std::end(kResources)) return answer_error(404, "no such resource");
  const bool is_policy = resource->kind == Kind::policy;
  if (is_policy && request.method == "PATCH") return answer_policy_change(request);
  if (request.method != "GET") return answer_error(405, is_policy ? "GET or PATCH only" : "GET only");
  return submit({resource->kind, {}});
}

io::Task<HttpReply> AdminApi::answer_metrics() {
  const Controller& core = driver_.core();
  metrics_.set_core(core.invariants(), core.state().responses_not_acted_on);
  co_return HttpReply{200, metrics_.text(), 0, kMetricsType};
}

io::Task<HttpReply> AdminApi::answer_policy_change(const http::Message& request) {
  Value body = Value::parse(request.body, nullptr, false);
  if (body.is_discarded()) return answer_error(400, "body: not JSON");
  return submit({Kind::change_policy, std::move(body)});
}

io::Task<HttpReply> AdminApi::submit(AdminRequest request) {
  CoreDriver::RequestHandler handler = [&](Controller& core, std::uint64_t number) {
    core.on_admin(number, request);
  };
  co_return co_await driver_.submit(std::move(handler), kReplyTimeout);
}

}  // namespace bendtide
