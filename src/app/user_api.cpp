#include "app/user_api.h"

#include "wire/names.h"
#include "wire/user_protocol.h"
#include "wire/worker_protocol.h"

namespace bendtide {

using namespace wire::names;

namespace {

constexpr Micros kReplyTimeout = millis(4500);  ///< users and workers give up after about this time
constexpr Micros kPollTimeout = millis(1900);   ///< below the 2 s that users wait for the state of a job

HttpReply error_reply(int status, const std::string& reason) {
  UserReply reply;
  reply.status = status;
  reply.error = reason;
  return {status, wire::body_of(reply), 0, kJsonType};
}

io::Task<HttpReply> answer_error(int status, std::string reason) { co_return error_reply(status, reason); }

}  // namespace

io::Task<HttpReply> UserApi::answer(const http::Message& request) {
  const std::string_view path = std::string_view(request.target).substr(0, request.target.find('?'));
  if (path == kHealthPath) return answer_health(request);
  if (path == kHeartbeatPath) return answer_heartbeat(request);
  if (path == kJobsPath) return answer_submission(request);
  const std::string job_prefix = std::string(kJobsPath) + "/";
  if (!path.starts_with(job_prefix)) return answer_error(404, "no such resource");

  std::string_view job = path.substr(job_prefix.size());
  const bool is_cancellation = job.ends_with(kCancelSuffix);
  if (is_cancellation) job.remove_suffix(std::string_view(kCancelSuffix).size());
  if (!wire::is_job_id(job)) return answer_error(404, "no such job");
  if (is_cancellation) return answer_cancellation(request, std::string(job));
  return answer_poll(request, std::string(job));
}

io::Task<HttpReply> UserApi::answer_health(const http::Message& request) {
  if (request.method != "GET") co_return error_reply(405, "GET only");
  const bool healthy = driver_.handle([](Controller& core) { return core.healthy(); });
  if (healthy) co_return HttpReply{200, "{}", 0, kJsonType};
  co_return HttpReply{503, "{}", 1, kJsonType};
}

io::Task<HttpReply> UserApi::answer_heartbeat(const http::Message& request) {
  if (request.method != "POST") co_return error_reply(405, "POST only");
  const auto parsed = wire::parse_heartbeat(request.body);
  if (const auto* problem = std::get_if<wire::FieldError>(&parsed))
    co_return error_reply(400, problem->text());
  CoreDriver::RequestHandler handler = [&](Controller& core, std::uint64_t number) {
    core.on_heartbeat(number, std::get<Heartbeat>(parsed));
  };
  co_return co_await driver_.submit(std::move(handler), kReplyTimeout);
}

io::Task<HttpReply> UserApi::answer_submission(const http::Message& request) {
  if (request.method != "POST") co_return error_reply(405, "POST only");
  const auto parsed = wire::parse_job_spec(request.body);
  const auto* problem = std::get_if<wire::FieldError>(&parsed);
  const std::string job = problem == nullptr ? "" : wire::find_job_id(request.body);
  if (problem != nullptr && job.empty()) co_return error_reply(400, problem->text());
  CoreDriver::RequestHandler handler = [&](Controller& core, std::uint64_t number) {
    if (problem == nullptr)
      core.on_submit(number, std::get<JobSpec>(parsed));
    else
      core.on_invalid_submission(number, job, problem->text());
  };
  co_return co_await driver_.submit(std::move(handler), kReplyTimeout);
}

io::Task<HttpReply> UserApi::answer_poll(const http::Message& request, std::string job) {
  if (request.method != "GET") co_return error_reply(405, "GET only");
  CoreDriver::RequestHandler handler = [&](Controller& core, std::uint64_t number) {
    core.on_poll(number, job);
  };
  co_return co_await driver_.submit(std::move(handler), kPollTimeout);
}

io::Task<HttpReply> UserApi::answer_cancellation(const http::Message& request, std::string job) {
  if (request.method != "POST") co_return error_reply(405, "POST only");
  CoreDriver::RequestHandler handler = [&](Controller& core, std::uint64_t number) {
    core.on_cancel(number, job);
  };
  co_return co_await driver_.submit(std::move(handler), kReplyTimeout);
}

}  // namespace bendtide
