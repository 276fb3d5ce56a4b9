// Checked access to the fields of a stored record. Only for the implementation of records.cpp: the functions
// throw an UnreadableField for a field that can't be read, and that exception must not leave records.cpp.
#pragma once

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "core/model/read_result.h"
#include "core/model/store_messages.h"

namespace bendtide::records {

/// Thrown for a field that can't be read. While the exception propagates, each with_path_element() call
/// prepends its element to the path in the error.
struct UnreadableField {
  ReadError error;
};

[[noreturn]] inline void throw_unreadable(ReadError::Kind kind) { throw UnreadableField{{kind, {}}}; }

inline std::string path_element(const char* key) { return std::string("/") + key; }
inline std::string path_element(std::size_t index) { return "/" + std::to_string(index); }

/// Returns `read()`, which reads the field or element `name`, and adds `name` to the path of any error.
template <class Name, class Read>
auto with_path_element(const Name& name, Read&& read) {
  try {
    return read();
  } catch (UnreadableField& unreadable_field) {
    unreadable_field.error.field.insert(0, path_element(name));
    throw;
  }
}

/// Returns a value converted to `T` by the rules of nlohmann::json.
template <class T>
T value_as(const Value& value) {
  try {
    return value.get<T>();
  } catch (const Value::exception&) {
    throw_unreadable(ReadError::Kind::wrong_type);
  }
}

/// Returns the result of `read` for the required field `key` of an object.
template <class Read>
auto read_field(const Value& object, const char* key, Read&& read) {
  if (!object.is_object()) throw_unreadable(ReadError::Kind::wrong_type);
  return with_path_element(key, [&] {
    const auto found = object.find(key);
    if (found == object.end()) throw_unreadable(ReadError::Kind::missing_field);
    return read(*found);
  });
}

/// Returns the result of `read` for one element of an array.
template <class Read>
auto read_element(const Value& array, std::size_t index, Read&& read) {
  if (!array.is_array()) throw_unreadable(ReadError::Kind::wrong_type);
  return with_path_element(index, [&] {
    if (index >= array.size()) throw_unreadable(ReadError::Kind::missing_field);
    return read(array[index]);
  });
}

/// Returns the results of `read` for all elements of an array, in order. Null counts as an empty array.
template <class T, class Read>
std::vector<T> read_elements(const Value& array, Read&& read) {
  std::vector<T> out;
  out.reserve(array.size());
  for (const Value& value : array) out.push_back(with_path_element(out.size(), [&] { return read(value); }));
  return out;
}

/// Returns the required field `key` of an object.
template <class T>
T field(const Value& object, const char* key) {
  return read_field(object, key, [](const Value& value) { return value_as<T>(value); });
}

/// Returns the optional field `key` of an object, or `default_value` if the object lacks it.
template <class T>
T field_or(const Value& object, const char* key, T default_value) {
  return object.contains(key) ? field<T>(object, key) : default_value;
}

/// Returns one element of an array.
template <class T>
T element(const Value& array, std::size_t index) {
  return read_element(array, index, [](const Value& value) { return value_as<T>(value); });
}

}  // namespace bendtide::records
