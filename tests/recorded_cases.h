// The cases of the recorded-bytes test: values built in code, and the bytes that they are written as.
//
// The files in tests/recorded hold the bytes that some earlier version of the program wrote. They stand for
// what is in state services, in clients and in controllers of other versions, so they are only ever added to:
// a difference is a change of a wire form or of stored data.
//
// bendtide_record_bytes prints what the present sources write; to add cases, append them here and print
// again:
//   bendtide_record_bytes records > tests/recorded/records.json
// and see in the difference that no line changed. store.json is the content of a key-value store at one
// moment of a simulated day, and need not be recorded again when the day changes.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace bendtide::recorded {

/// A record of the key-value store.
struct StoredRecord {
  std::string name;
  std::string key;
  std::string value;  ///< JSON text
};

/// Something that this program writes: a frame between controllers, or a request or a body as text.
struct Written {
  std::string name;
  std::string bytes;
};

/// A body that this program reads, and what it makes of it.
struct Understood {
  std::string name;
  int status = 0;  ///< of an answer; 0 for a request
  std::string body;
  /// Describes what is read from a status and a body, as text with every field.
  std::function<std::string(int status, const std::string& body)> read;
};

/// Every kind of stored record, with optional fields present and absent, and every enumerator.
std::vector<StoredRecord> stored_records();
/// Values that do not fit their key: they are read as no record at all.
std::vector<StoredRecord> unreadable_records();
/// Reads a value as the record that its key says, and writes it again; none if it can't be read or if no
/// kind of record has such a key.
std::optional<std::string> read_and_write_record(const std::string& key, const std::string& value);

/// A frame for every message between controllers.
std::vector<Written> peer_frames();
/// How many kinds of messages between controllers there are, and how many `frames` has.
std::size_t peer_message_kinds();
std::size_t peer_message_kinds(const std::vector<Written>& frames);
/// Decodes a frame and encodes it again; none if it can't be decoded.
std::optional<std::string> read_and_write_frame(const std::string& frame);

/// Bodies for users and workers, and requests to the key-value store, the cloud and workers.
std::vector<Written> written_bodies();
/// Answers to administrators, for a controller with one machine and one job.
std::vector<Written> administration_bodies();
/// Bodies from users and workers, and answers of the key-value store, the cloud and workers.
std::vector<Understood> understood_bodies();

/// The content of a key-value store in the middle of a simulated day.
nlohmann::json store_in_the_middle_of_a_day();

std::string to_hex(const std::string& bytes);
std::string from_hex(const std::string& hex);

}  // namespace bendtide::recorded
