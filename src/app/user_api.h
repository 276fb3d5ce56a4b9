// The API that users and workers call: health, heartbeats and jobs.
#pragma once

#include <string>

#include "app/core_driver.h"
#include "http/message.h"

namespace bendtide {

class UserApi {
 public:
  explicit UserApi(CoreDriver& driver) : driver_(driver) {}

  /// `request` has to outlive the task.
  io::Task<HttpReply> answer(const http::Message& request);

 private:
  // One for each resource.
  io::Task<HttpReply> answer_health(const http::Message& request);
  io::Task<HttpReply> answer_heartbeat(const http::Message& request);
  io::Task<HttpReply> answer_submission(const http::Message& request);
  io::Task<HttpReply> answer_poll(const http::Message& request, std::string job);
  io::Task<HttpReply> answer_cancellation(const http::Message& request, std::string job);

  CoreDriver& driver_;
};

}  // namespace bendtide
