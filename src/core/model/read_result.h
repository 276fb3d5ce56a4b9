// The outcome of reading a stored record.
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
    no_record,      ///< the response shows none
    missing_field,  ///< a field is not there
    wrong_type,     ///< a field is of another type
    out_of_range    ///< a field has a value that this version does not know
  };
  Kind kind = Kind::no_record;
  std::string field;  ///< JSON pointer (RFC 6901) to the field; empty: the whole record

  bool operator==(const ReadError&) const = default;
};

/// For the log, such as "missing field /spec/tasks".
std::string to_string(const ReadError& error);

/// A record, or the reason why it could not be read.
template <class Record>
class [[nodiscard]] ReadResult {
 public:
  // NOLINTNEXTLINE(google-explicit-constructor): returned as either of the two
  ReadResult(Record record) : outcome_(std::move(record)) {}
  // NOLINTNEXTLINE(google-explicit-constructor): see above
  ReadResult(ReadError error) : outcome_(std::move(error)) {}

  bool ok() const { return std::holds_alternative<Record>(outcome_); }
  explicit operator bool() const { return ok(); }
  /// The record; only if ok().
  const Record& operator*() const { return std::get<Record>(outcome_); }
  const Record* operator->() const { return &std::get<Record>(outcome_); }
  /// The error; only if not ok().
  const ReadError& error() const { return std::get<ReadError>(outcome_); }
  /// For callers to whom an unreadable record is the same as none.
  // NOLINTNEXTLINE(google-explicit-constructor): it loses only the reason
  operator std::optional<Record>() const { return ok() ? std::optional<Record>(**this) : std::nullopt; }

 private:
  std::variant<Record, ReadError> outcome_;
};

}  // namespace bendtide::records
