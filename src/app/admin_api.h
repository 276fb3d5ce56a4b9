// The HTTP API for operators: metrics, the scheduling policy, and an overview of the controller's state.
#pragma once

#include "app/core_driver.h"
#include "http/message.h"

namespace bendtide {

/// Serves the paths below /admin.
class AdminApi {
 public:
  AdminApi(CoreDriver& driver, Metrics& metrics) : driver_(driver), metrics_(metrics) {}

  /// Returns the reply to an HTTP request. `request` must outlive the task.
  io::Task<HttpReply> answer(const http::Message& request);

 private:
  io::Task<HttpReply> answer_metrics();
  io::Task<HttpReply> answer_policy_change(const http::Message& request);
  /// Passes a request to the core and returns its reply.
  io::Task<HttpReply> submit(AdminRequest request);

  CoreDriver& driver_;
  Metrics& metrics_;
};

}  // namespace bendtide
