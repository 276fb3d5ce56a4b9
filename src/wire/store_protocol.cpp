#include "wire/store_protocol.h"

#include "wire/names.h"
#include "wire/object_reader.h"
#include "wire/query.h"

namespace bendtide::wire {

using nlohmann::json;
using namespace names;

namespace {

constexpr char kPageSize[] = "1000";  ///< entries on a page of a list

HttpRequest to_http(const GetKey& request) {
  return {"GET", std::string(kKeysPath) + "/" + escape(request.key), ""};
}

HttpRequest to_http(const ListPrefix& request) {
  std::string target = std::string(kKeysPath) + "?" + kPrefix + "=" + escape(request.prefix);
  if (!request.after.empty()) target += std::string("&") + kAfter + "=" + escape(request.after);
  return {"GET", target + "&" + kLimit + "=" + kPageSize, ""};
}

json to_json(const Write& write) {
  if (!write.value) return json{{kRemove, write.key}};
  json entry = {{kPut, write.key}, {kValue, *write.value}};
  if (write.lease != 0) entry[kLease] = write.lease.value();
  return entry;
}

HttpRequest to_http(const Transaction& request) {
  json compares = json::array();
  for (const Compare& compare : request.compares)
    compares.push_back({{kKey, compare.key}, {kRevision, compare.revision.value()}});
  json writes = json::array();
  for (const Write& write : request.writes) writes.push_back(to_json(write));
  return {"POST", kTransactionPath,
          json{{kCompares, std::move(compares)}, {kWrites, std::move(writes)}}.dump()};
}

HttpRequest to_http(const GrantLease& request) {
  return {"POST", kLeasesPath, json{{kTtl, request.term.count() / 1000}}.dump()};
}

HttpRequest to_http(const RenewLease& request) {
  return {"POST", std::string(kLeasesPath) + "/" + to_string(request.lease) + kRenewSuffix, "{}"};
}

KeyValue read_key_value(const ObjectReader& reader) {
  KeyValue entry;
  entry.key = reader.name(kKey);
  entry.value = reader.require_nullable(kValue);
  entry.revision = reader.count(kRevision);
  return entry;
}

// One overload for each kind of request. Each reads the body of a response with status 200.

StoreResponse read_result(const GetKey&, const ObjectReader& reader) {
  StoreResponse response;
  response.entries.push_back(read_key_value(reader));
  return response;
}

StoreResponse read_result(const ListPrefix&, const ObjectReader& reader) {
  StoreResponse response;
  for (const json& entry : reader.list(kEntries))
    response.entries.push_back(read_key_value(ObjectReader(entry)));
  response.more = reader.flag_or(kMore, false);
  response.revision = reader.count(kStoreRevision);
  return response;
}

StoreResponse read_result(const Transaction&, const ObjectReader& reader) {
  StoreResponse response;
  response.revision = reader.count(kStoreRevision);
  return response;
}

StoreResponse read_result(const GrantLease&, const ObjectReader& reader) {
  StoreResponse response;
  response.lease = reader.count(kLease);
  return response;
}

StoreResponse read_result(const RenewLease&, const ObjectReader&) { return {}; }

StoreResponse read_success(const StoreRequest& request, const ObjectReader& reader) {
  StoreResponse response = std::visit([&](const auto& kind) { return read_result(kind, reader); }, request);
  response.outcome = StoreResponse::Outcome::ok;
  return response;
}

StoreResponse read_absent(const ObjectReader& reader) {
  StoreResponse response;
  response.outcome = StoreResponse::Outcome::absent;
  if (reader.has(kStoreRevision)) response.revision = reader.count(kStoreRevision);
  return response;
}

StoreResponse read_conflict(const ObjectReader& reader) {
  StoreResponse response;
  response.outcome = StoreResponse::Outcome::conflict;
  const json* failed = reader.find(kFailedCompares);
  if (failed == nullptr || !failed->is_array()) return response;
  for (const json& key : *failed)
    if (key.is_string()) response.failed.push_back(key.get<std::string>());
  return response;
}

/// Reads a response with status 400. The only invalid request that a controller sends is a put that refers to
/// an ended lease; the outcome is `absent` if the error text mentions a lease.
StoreResponse read_invalid(const ObjectReader& reader) {
  const json* error = reader.find(kError);
  const bool lease_ended = error != nullptr && error->is_string() &&
                           error->get_ref<const std::string&>().find("lease") != std::string::npos;
  StoreResponse response;
  response.outcome = lease_ended ? StoreResponse::Outcome::absent : StoreResponse::Outcome::refused;
  return response;
}

/// Returns the response for a request that the store refused to execute. The outcome of a transaction is
/// `unknown` all the same, because a delayed copy of the request may still be executed.
StoreResponse refused(const StoreRequest& request) {
  StoreResponse response;
  if (!std::holds_alternative<Transaction>(request)) response.outcome = StoreResponse::Outcome::refused;
  return response;
}

StoreResponse read_response(const StoreRequest& request, int status, std::string_view body) {
  const json value = body.empty() ? json::object() : parse_json(body);
  const ObjectReader reader(value);
  switch (status) {
    case 200:
      return read_success(request, reader);
    case 400:
      return read_invalid(reader);
    case 404:
      return read_absent(reader);
    case 409:
      return read_conflict(reader);
    default:
      return {};
  }
}

}  // namespace

HttpRequest request_of(const StoreRequest& request) {
  return std::visit([](const auto& kind) { return to_http(kind); }, request);
}

StoreResponse parse_store_response(const StoreRequest& request, int status, std::string_view body) {
  if (status == 429 || status == 503) return refused(request);
  auto parsed = parse_with<StoreResponse>([&] { return read_response(request, status, body); });
  auto* response = std::get_if<StoreResponse>(&parsed);
  return response == nullptr ? StoreResponse{} : std::move(*response);
}

}  // namespace bendtide::wire
