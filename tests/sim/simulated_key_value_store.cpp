#include "sim/simulated_key_value_store.h"

#include "wire/names.h"

namespace bendtide::sim {

using nlohmann::json;
using namespace wire::names;

namespace {

/// Returns a parameter of the query in a request target, or an empty string if it is absent. Does not decode
/// percent escapes: clients of the simulated store escape no character that can occur in a key.
std::string parameter(const std::string& target, const std::string& name) {
  const auto query = target.find('?');
  if (query == std::string::npos) return {};
  std::size_t begin = query + 1;
  while (begin < target.size()) {
    const auto end = std::min(target.find('&', begin), target.size());
    const std::string pair = target.substr(begin, end - begin);
    if (pair.starts_with(name + "=")) return pair.substr(name.size() + 1);
    begin = end + 1;
  }
  return {};
}

/// Returns the part of a request target after `prefix` and a slash.
std::string key_from_path(const std::string& target, const char* prefix) {
  return target.substr(std::string(prefix).size() + 1);
}

}  // namespace

void SimulatedKeyValueStore::set_outage(bool on, Micros now) {
  expire_leases(now);
  if (outage_ && !on)
    for (auto& [id, lease] : leases_) lease.expires_at = now + lease.term;
  outage_ = on;
}

void SimulatedKeyValueStore::expire_leases(Micros now) {
  if (outage_) return;
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (lease->second.expires_at > now) {
      ++lease;
      continue;
    }
    ++revision_;
    std::erase_if(entries_, [&](const auto& entry) { return entry.second.lease == lease->first; });
    lease = leases_.erase(lease);
  }
}

Response SimulatedKeyValueStore::handle(const wire::HttpRequest& request, Micros now) {
  expire_leases(now);
  if (outage_) return {503, "{}"};
  if (!request_bucket_.try_take(now)) {
    ++rate_limited_requests_;
    return {429, "{}"};
  }
  if (request.method == "GET")
    return request.target.starts_with(std::string(kKeysPath) + "?") ? list(request.target)
                                                                    : read(request.target);
  if (request.target == kTransactionPath) return transaction(json::parse(request.body), now);
  if (request.target == kLeasesPath) return grant_lease(json::parse(request.body), now);
  if (request.target.ends_with(kRenewSuffix)) return renew_lease(request.target, now);
  return {400, "{}"};
}

Response SimulatedKeyValueStore::list(const std::string& target) const {
  const std::string prefix = parameter(target, kPrefix);
  const std::string after = parameter(target, kAfter);
  const auto limit = std::stoul(parameter(target, kLimit));
  json rows = json::array();
  bool more = false;
  for (auto entry = entries_.lower_bound(prefix); entry != entries_.end() && entry->first.starts_with(prefix);
       ++entry) {
    if (entry->first <= after) continue;
    if (rows.size() >= limit) {
      more = true;
      break;
    }
    rows.push_back(
        {{kKey, entry->first}, {kValue, entry->second.value}, {kRevision, entry->second.revision}});
  }
  return {200, json{{kEntries, rows}, {kMore, more}, {kStoreRevision, revision_}}.dump()};
}

Response SimulatedKeyValueStore::read(const std::string& target) const {
  const std::string key = key_from_path(target, kKeysPath);
  const auto entry = entries_.find(key);
  if (entry == entries_.end()) return {404, json{{kStoreRevision, revision_}}.dump()};
  const json row{{kKey, key}, {kValue, entry->second.value}, {kRevision, entry->second.revision}};
  return {200, row.dump()};
}

Response SimulatedKeyValueStore::grant_lease(const json& body, Micros now) {
  const Micros term = millis(body.at(kTtl).get<std::int64_t>());
  const std::uint64_t lease = next_lease_++;
  leases_[lease] = {term, now + term};
  return {200, json{{kLease, lease}}.dump()};
}

Response SimulatedKeyValueStore::renew_lease(const std::string& target, Micros now) {
  const auto lease = leases_.find(std::stoull(key_from_path(target, kLeasesPath)));
  if (lease == leases_.end()) return {404, "{}"};
  lease->second.expires_at = now + lease->second.term;
  return {200, "{}"};
}

Response SimulatedKeyValueStore::transaction(const json& body, Micros now) {
  const json& writes = body.at(kWrites);
  const json& compares = body.at(kCompares);
  if (writes.size() > max_writes_ || compares.size() > 4 * max_writes_) {
    ++oversized_requests_;
    return {400, "{}"};
  }
  if (!write_bucket_.try_take(now, static_cast<double>(writes.size()))) {
    ++rate_limited_requests_;
    return {429, "{}"};
  }
  for (const json& write : writes) {
    if (write.contains(kPut) && write.at(kValue).dump().size() > max_value_bytes_) {
      ++oversized_requests_;
      return {400, "{}"};
    }
    if (write.contains(kLease) && !leases_.contains(write.at(kLease).get<std::uint64_t>()))
      return {400, json{{kError, "no such lease"}}.dump()};
  }
  const json failed = failed_compares(compares);
  if (!failed.empty()) return {409, json{{kFailedCompares, failed}, {kStoreRevision, revision_}}.dump()};
  apply(writes);
  return {200, json{{kStoreRevision, revision_}}.dump()};
}

json SimulatedKeyValueStore::failed_compares(const json& compares) const {
  json failed = json::array();
  for (const json& compare : compares) {
    const auto entry = entries_.find(compare.at(kKey).get<std::string>());
    const std::uint64_t revision = entry == entries_.end() ? 0 : entry->second.revision;
    if (revision != compare.at(kRevision).get<std::uint64_t>()) failed.push_back(compare.at(kKey));
  }
  return failed;
}

void SimulatedKeyValueStore::apply(const json& writes) {
  if (!writes.empty()) ++revision_;
  for (const json& write : writes) {
    if (write.contains(kPut))
      entries_[write.at(kPut).get<std::string>()] = {write.at(kValue), revision_,
                                                     write.value(kLease, std::uint64_t{0})};
    else
      entries_.erase(write.at(kRemove).get<std::string>());
  }
}

std::vector<std::string> SimulatedKeyValueStore::values_under(const std::string& prefix) const {
  std::vector<std::string> values;
  for (auto entry = entries_.lower_bound(prefix); entry != entries_.end() && entry->first.starts_with(prefix);
       ++entry)
    values.push_back(entry->second.value.dump());
  return values;
}

json SimulatedKeyValueStore::snapshot() const {
  json rows = json::array();
  json leases = json::array();
  for (const auto& [key, entry] : entries_)
    rows.push_back({{"key", key}, {"value", entry.value}, {"stamp", entry.revision}, {"lease", entry.lease}});
  for (const auto& [id, lease] : leases_) leases.push_back({{"lease", id}, {"term_us", lease.term.count()}});
  return {{"revision", revision_}, {"next_lease", next_lease_}, {"leases", leases}, {"rows", rows}};
}

void SimulatedKeyValueStore::restore(const json& snapshot, Micros now) {
  entries_.clear();
  leases_.clear();
  revision_ = snapshot.at("revision").get<std::uint64_t>();
  next_lease_ = snapshot.at("next_lease").get<std::uint64_t>();
  for (const json& entry : snapshot.at("rows"))
    entries_[entry.at("key").get<std::string>()] = {entry.at("value"), entry.at("stamp").get<std::uint64_t>(),
                                                    entry.at("lease").get<std::uint64_t>()};
  for (const json& lease : snapshot.at("leases")) {
    const Micros term{lease.at("term_us").get<std::int64_t>()};
    leases_[lease.at("lease").get<std::uint64_t>()] = {term, now + term};
  }
}

}  // namespace bendtide::sim
