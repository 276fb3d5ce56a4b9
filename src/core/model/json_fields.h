// Checked access to the fields of a stored record. For the implementation of records.cpp only: a field that
// can't be read throws an UnreadableField, which must not leave that file.
#pragma once

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "core/model/read_result.h"
#include "core/model/store_messages.h"

namespace bendtide::records {

/// Thrown with the path to the field as far as it is known, and completed by the callers that read the values
/// round it.
struct UnreadableField {
  ReadError error;
};

[[noreturn]] inline void unreadable(ReadError::Kind kind) { throw UnreadableField{{kind, {}}}; }

inline std::string path_element(const char* key) { return std::string("/") + key; }
inline std::string path_element(std::size_t index) { return "/" + std::to_string(index); }

/// Calls `read()`, which reads the field or element called `name`.
template <class Name, class Read>
auto within(const Name& name, Read&& read) {
  try {
    return read();
  } catch (UnreadableField& unreadable_field) {
    unreadable_field.error.field.insert(0, path_element(name));
    throw;
  }
}

/// A value as a `T`, by nlohmann's conversions.
template <class T>
T as(const Value& value) {
  try {
    return value.get<T>();
  } catch (const Value::exception&) {
    unreadable(ReadError::Kind::wrong_type);
  }
}

/// `read` of the field `key` of an object.
template <class Read>
auto read_field(const Value& object, const char* key, Read&& read) {
  if (!object.is_object()) unreadable(ReadError::Kind::wrong_type);
  return within(key, [&] {
    const auto found = object.find(key);
    if (found == object.end()) unreadable(ReadError::Kind::missing_field);
    return read(*found);
  });
}

/// `read` of one element of an array.
template <class Read>
auto read_element(const Value& array, std::size_t index, Read&& read) {
  if (!array.is_array()) unreadable(ReadError::Kind::wrong_type);
  return within(index, [&] {
    if (index >= array.size()) unreadable(ReadError::Kind::missing_field);
    return read(array[index]);
  });
}

/// `read` of each element of an array, in order. Null is read as an array without elements.
template <class T, class Read>
std::vector<T> read_elements(const Value& array, Read&& read) {
  std::vector<T> out;
  out.reserve(array.size());
  for (const Value& value : array) out.push_back(within(out.size(), [&] { return read(value); }));
  return out;
}

template <class T>
T field(const Value& object, const char* key) {
  return read_field(object, key, [](const Value& value) { return as<T>(value); });
}

template <class T>
T field_or(const Value& object, const char* key, T otherwise) {
  return object.contains(key) ? field<T>(object, key) : otherwise;
}

template <class T>
T element(const Value& array, std::size_t index) {
  return read_element(array, index, [](const Value& value) { return as<T>(value); });
}

}  // namespace bendtide::records
