// The cases of the recorded-bytes test: values built in code, and the bytes that they are serialized to.
//
// The files in tests/recorded hold bytes that earlier versions of the program wrote. They represent the data
// in existing key-value stores, and the messages of clients and controllers of other versions. Cases are
// therefore only added to these files: any other difference is a change of a wire format or of stored data.
//
// bendtide_record_bytes prints what the current sources write. To add cases, append them in the code and
// record the file again:
//   bendtide_record_bytes records > tests/recorded/records.json
// Then check in the diff that no existing line has changed. store.json is the content of a key-value store at
// one moment of a simulated run. It need not be recorded again when the simulation changes.
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

/// Something that the program sends: an encoded frame between controllers, or a request or a body as text.
struct SentMessage {
  std::string name;
  std::string bytes;
};

/// A received body, and what the program reads from it.
struct ReceivedBody {
  std::string name;
  int status = 0;  ///< HTTP status of a response; 0 for a request
  std::string body;
  /// Returns what the program reads from a status and a body, as text with every field, or why it refuses
  /// them.
  std::function<std::string(int status, const std::string& body)> read;
};

/// Records of every kind, with optional fields present and absent, and with every enumerator.
std::vector<StoredRecord> stored_records();
/// Invalid records: either the value is not valid for its key, or no kind of record has such a key. All of
/// them are rejected.
std::vector<StoredRecord> unreadable_records();
/// Parses a value as the kind of record that its key stands for, and serializes the record again. Returns
/// none if the value is invalid or if no kind of record has such a key.
std::optional<std::string> round_trip_record(const std::string& key, const std::string& value);

/// Frames for every kind of message between controllers.
std::vector<SentMessage> peer_frames();
/// The number of kinds of messages between controllers.
std::size_t peer_message_kinds();
/// The number of kinds of messages that `frames` contain.
std::size_t peer_message_kinds(const std::vector<SentMessage>& frames);
/// Decodes a frame and encodes it again. Returns none if it cannot be decoded.
std::optional<std::string> round_trip_frame(const std::string& frame);

/// Submissions, heartbeats, replies to users and workers, and requests to the key-value store, the cloud and
/// workers.
std::vector<SentMessage> sent_bodies();
/// Response bodies of the administration API, for a controller with one machine and one job.
std::vector<SentMessage> admin_bodies();
/// Bodies from users and workers, and responses of the key-value store, the cloud and workers.
std::vector<ReceivedBody> received_bodies();

/// The content of the key-value store in the middle of a simulated run.
nlohmann::json store_snapshot_mid_run();

std::string to_hex(const std::string& bytes);
std::string from_hex(const std::string& hex);

}  // namespace bendtide::recorded
