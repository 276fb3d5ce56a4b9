#include "core/kvstore/request_description.h"

namespace bendtide {

namespace {

constexpr std::size_t kMaxDescribedEntries = 4;  ///< for longer responses only the number of entries is given

struct RequestDescriber {
  std::string operator()(const GetKey& get) const { return "get " + get.key; }
  std::string operator()(const ListPrefix& list) const {
    return "list " + list.prefix + " after '" + list.after + "'";
  }
  std::string operator()(const GrantLease&) const { return "grant lease"; }
  std::string operator()(const RenewLease& renew) const { return "renew lease " + to_string(renew.lease); }
  std::string operator()(const Transaction& transaction) const {
    std::string text;
    for (const Write& write : transaction.writes)
      text += (write.value ? "put " : "remove ") + write.key + ", ";
    text += "if";
    for (const Compare& compare : transaction.compares)
      text += " " + compare.key + "@" + to_string(compare.revision);
    return text;
  }
};

std::string describe(StoreResponse::Outcome outcome) {
  switch (outcome) {
    case StoreResponse::Outcome::ok:
      return "ok";
    case StoreResponse::Outcome::absent:
      return "absent";
    case StoreResponse::Outcome::conflict:
      return "conflict at";
    case StoreResponse::Outcome::refused:
      return "refused";
    case StoreResponse::Outcome::unknown:
      return "no response";
  }
  return "";
}

}  // namespace

std::string describe(const StoreRequest& request) { return std::visit(RequestDescriber{}, request); }

std::string describe(const StoreResponse& response) {
  std::string text = describe(response.outcome);
  for (const std::string& key : response.failed) text += " " + key;
  if (response.revision != 0) text += ", revision " + to_string(response.revision);
  if (response.lease != 0) text += ", lease " + to_string(response.lease);
  if (response.entries.size() > kMaxDescribedEntries)
    return text + ", " + std::to_string(response.entries.size()) + " entries";
  for (const KeyValue& entry : response.entries) text += ", " + entry.key + "@" + to_string(entry.revision);
  return text;
}

}  // namespace bendtide
