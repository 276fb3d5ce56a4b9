// Prints the content of one of the files in tests/recorded, as the current sources write it (see
// recorded_cases.h).

#include <cstdio>
#include <exception>

#include "recorded_cases.h"

namespace bendtide::recorded {
namespace {

using nlohmann::json;

json entries(const std::vector<StoredRecord>& records) {
  json out = json::array();
  for (const StoredRecord& r : records) out.push_back({{"name", r.name}, {"key", r.key}, {"value", r.value}});
  return out;
}

json entries(const std::vector<SentMessage>& messages) {
  json out = json::array();
  for (const SentMessage& m : messages) out.push_back({{"name", m.name}, {"bytes", m.bytes}});
  return out;
}

json entries(const std::vector<ReceivedBody>& bodies) {
  json out = json::array();
  for (const ReceivedBody& b : bodies)
    out.push_back(
        {{"name", b.name}, {"status", b.status}, {"body", b.body}, {"read_as", b.read(b.status, b.body)}});
  return out;
}

std::string hex_lines(const std::vector<SentMessage>& frames) {
  std::string out;
  for (const SentMessage& f : frames) out += f.name + ": " + to_hex(f.bytes) + "\n";
  return out;
}

/// The content of a file in tests/recorded, given its name without extension; empty if there is no such file.
std::string content_of(const std::string& name) {
  if (name == "peer_messages") return hex_lines(peer_frames());
  json out;
  if (name == "records")
    out = {{"written", entries(stored_records())}, {"unreadable", entries(unreadable_records())}};
  else if (name == "wire")
    out = {{"written", entries(sent_bodies())},
           {"administration", entries(admin_bodies())},
           {"understood", entries(received_bodies())}};
  else if (name == "store")
    out = store_snapshot_mid_run();
  return out.is_null() ? "" : out.dump(1) + "\n";
}

int run(const std::string& name) {
  const std::string text = content_of(name);
  if (text.empty()) {
    std::fputs("usage: bendtide_record_bytes records|peer_messages|wire|store\n", stderr);
    return 2;
  }
  std::fputs(text.c_str(), stdout);
  return 0;
}

}  // namespace
}  // namespace bendtide::recorded

int main(int argc, char** argv) {
  try {
    return bendtide::recorded::run(argc == 2 ? argv[1] : "");
  } catch (const std::exception& e) {
    std::fprintf(stderr, "%s\n", e.what());
    return 1;
  }
}
