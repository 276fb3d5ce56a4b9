// The result of reading a stored record.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace bendtide::records {

/// Why a record could not be read.
struct ReadError {
  enum class Kind : std::uint8_t {
    no_record,      ///< the response contains no record
    missing_field,  ///< a required field is missing
    wrong_type,     ///< a field has the wrong type
    out_of_range    ///< a field has a value that this version does not support
  };
  Kind kind = Kind::no_record;
  std::string field;  ///< JSON pointer (RFC 6901) to the field; empty: the whole record

  bool operator==(const ReadError&) const = default;
};

/// The error as the reason of a log line, such as "missing field /spec/tasks".
std::string to_string(const ReadError& error);

/// Either a record or the error that prevented reading it.
template <class Record>
class [[nodiscard]] ReadResult {
 public:
  // NOLINTNEXTLINE(google-explicit-constructor): functions return either of the two types
  ReadResult(Record record) : outcome_(std::move(record)) {}
  // NOLINTNEXTLINE(google-explicit-constructor): as above
  ReadResult(ReadError error) : outcome_(std::move(error)) {}

  bool ok() const { return std::holds_alternative<Record>(outcome_); }
  explicit operator bool() const { return ok(); }
  /// The record. Requires ok().
  const Record& operator*() const { return std::get<Record>(outcome_); }
  const Record* operator->() const { return &std::get<Record>(outcome_); }
  /// The error. Requires !ok().
  const ReadError& error() const { return std::get<ReadError>(outcome_); }
  /// For callers that treat an unreadable record as a missing one.
  // NOLINTNEXTLINE(google-explicit-constructor): only the error is lost
  operator std::optional<Record>() const { return ok() ? std::optional<Record>(**this) : std::nullopt; }

 private:
  std::variant<Record, ReadError> outcome_;
};

}  // namespace bendtide::records
