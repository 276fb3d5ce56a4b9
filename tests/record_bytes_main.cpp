// Prints one of the files in tests/recorded, as the present sources write it (see recorded_cases.h).

#include <cstdio>
#include <exception>

#include "recorded_cases.h"

namespace bendtide::recorded {
namespace {

using nlohmann::json;

json entries(const std::vector<StoredRecord>& stored) {
  json out = json::array();
  for (const StoredRecord& r : stored) out.push_back({{"name", r.name}, {"key", r.key}, {"value", r.value}});
  return out;
}

json entries(const std::vector<Written>& written) {
  json out = json::array();
  for (const Written& w : written) out.push_back({{"name", w.name}, {"bytes", w.bytes}});
  return out;
}

json entries(const std::vector<Understood>& understood) {
  json out = json::array();
  for (const Understood& u : understood)
    out.push_back(
        {{"name", u.name}, {"status", u.status}, {"body", u.body}, {"read_as", u.read(u.status, u.body)}});
  return out;
}

std::string hex_lines(const std::vector<Written>& frames) {
  std::string out;
  for (const Written& f : frames) out += f.name + ": " + to_hex(f.bytes) + "\n";
  return out;
}

std::string file(const std::string& name) {
  if (name == "peer_messages") return hex_lines(peer_frames());
  json out;
  if (name == "records")
    out = {{"written", entries(stored_records())}, {"unreadable", entries(unreadable_records())}};
  else if (name == "wire")
    out = {{"written", entries(written_bodies())},
           {"administration", entries(administration_bodies())},
           {"understood", entries(understood_bodies())}};
  else if (name == "store")
    out = store_in_the_middle_of_a_day();
  return out.is_null() ? "" : out.dump(1) + "\n";
}

int run(const std::string& name) {
  const std::string text = file(name);
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
