// The operators' API: metrics, the policy, and what the core knows.
#pragma once

#include "app/core_driver.h"
#include "http/message.h"

namespace bendtide {

class AdminApi {
 public:
  AdminApi(CoreDriver& driver, Metrics& metrics) : driver_(driver), metrics_(metrics) {}

  /// `request` has to outlive the task.
  io::Task<HttpReply> answer(const http::Message& request);

 private:
  io::Task<HttpReply> answer_metrics();
  io::Task<HttpReply> answer_policy_change(const http::Message& request);
  io::Task<HttpReply> ask(AdminRequest request);

  CoreDriver& driver_;
  Metrics& metrics_;
};

}  // namespace bendtide
