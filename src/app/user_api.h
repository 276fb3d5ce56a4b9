// The HTTP API for users and workers: health, heartbeats and jobs.
#pragma once

#include <string>

#include "app/core_driver.h"
#include "http/message.h"

namespace bendtide {

/// Serves the public address: parses requests, passes them to the core and returns its replies.
class UserApi {
 public:
  explicit UserApi(CoreDriver& driver) : driver_(driver) {}

  /// Returns the reply to an HTTP request. `request` must outlive the task.
  io::Task<HttpReply> answer(const http::Message& request);

 private:
  // One function for each resource.
  io::Task<HttpReply> answer_health(const http::Message& request);
  io::Task<HttpReply> answer_heartbeat(const http::Message& request);
  io::Task<HttpReply> answer_submission(const http::Message& request);
  io::Task<HttpReply> answer_poll(const http::Message& request, std::string job);
  io::Task<HttpReply> answer_cancellation(const http::Message& request, std::string job);

  CoreDriver& driver_;
};

}  // namespace bendtide
