// Writer and Reader for the fields of the binary codec (codec.h). Both have the same functions, so that one
// list of fields for each message serves encoding and decoding.
#pragma once

#include <bit>
#include <cmath>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "core/model/ids.h"
#include "core/model/resources.h"
#include "core/model/time.h"

namespace bendtide::codec {

/// Encodes fields into a string.
class Writer {
 public:
  void field(std::uint64_t n) {
    while (n >= 0x80) {
      out_ += static_cast<char>(n | 0x80);
      n >>= 7;
    }
    out_ += static_cast<char>(n);
  }
  void field(std::int64_t n) {
    field((static_cast<std::uint64_t>(n) << 1) ^ static_cast<std::uint64_t>(n >> 63));
  }
  void field(std::uint32_t n) { field(std::uint64_t{n}); }
  void field(bool b) { field(std::uint64_t{b}); }
  void field(Micros m) { field(m.count()); }
  void field(double d) { field(std::bit_cast<std::uint64_t>(d)); }
  template <class T>
  void field(const std::optional<T>& o) {
    field(o.has_value());
    if (o) field(*o);
  }
  void field(const std::string& s) {
    field(std::uint64_t{s.size()});
    out_ += s;
  }
  void field(const std::vector<std::string>& list) {
    field(std::uint64_t{list.size()});
    for (const std::string& s : list) field(s);
  }
  void field(const Resources& r) { fields(r.cpu, r.gpu, r.memory); }
  void field(const Quota& q) { fields(q.cpu, q.gpu); }
  template <class Kind>
  void field(StrongId<Kind> id) {
    field(id.value());
  }
  /// Writes the length of a list and calls `write_element(writer, element)` for each element.
  template <class T, class F>
  void list(const std::vector<T>& list, F&& write_element) {
    field(std::uint64_t{list.size()});
    for (const T& element : list) write_element(*this, element);
  }
  template <class E>
  requires std::is_enum_v<E>
  void field(E e, E /*last*/) { field(static_cast<std::uint64_t>(e)); }
  template <class... T>
  void fields(const T&... all) {
    (field(all), ...);
  }
  /// Moves the encoded fields out of the writer.
  std::string take() { return std::move(out_); }

 private:
  std::string out_;
};

/// Decodes fields from a byte string. After the first malformed or missing field, good() stays false and
/// every further value is read as empty or zero.
class Reader {
 public:
  explicit Reader(std::string_view in) : in_(in) {}
  bool good() const { return good_; }
  bool at_end() const { return pos_ == in_.size(); }
  std::size_t position() const { return pos_; }

  void field(std::uint64_t& n) {
    n = 0;
    for (int shift = 0; shift < 64; shift += 7) {
      if (pos_ >= in_.size()) return fail();
      const auto byte = static_cast<unsigned char>(in_[pos_++]);
      if (shift == 63 && byte > 1) return fail();
      n |= std::uint64_t{byte & 0x7Fu} << shift;
      if ((byte & 0x80) == 0) return;
    }
    fail();
  }
  void field(std::int64_t& n) {
    std::uint64_t zigzag = 0;
    field(zigzag);
    n = static_cast<std::int64_t>(zigzag >> 1) ^ -static_cast<std::int64_t>(zigzag & 1);
  }
  void field(std::uint32_t& n) {
    std::uint64_t wide = 0;
    field(wide);
    if (wide > UINT32_MAX) return fail();
    n = static_cast<std::uint32_t>(wide);
  }
  void field(bool& b) {
    std::uint64_t n = 0;
    field(n);
    if (n > 1) return fail();
    b = n == 1;
  }
  void field(Micros& m) {
    std::int64_t count = 0;
    field(count);
    m = Micros{count};
  }
  void field(double& d) {
    std::uint64_t n = 0;
    field(n);
    d = std::bit_cast<double>(n);
    if (!std::isfinite(d)) fail();
  }
  template <class T>
  void field(std::optional<T>& o) {
    bool has_value = false;
    field(has_value);
    if (has_value) field(o.emplace());
  }
  void field(std::string& s) {
    std::uint64_t size = 0;
    field(size);
    if (!good_ || size > in_.size() - pos_) return fail();
    s = in_.substr(pos_, size);
    pos_ += size;
  }
  void field(std::vector<std::string>& list) {
    std::uint64_t size = 0;
    field(size);
    if (!good_ || size > in_.size() - pos_) return fail();
    for (std::uint64_t i = 0; i < size && good_; ++i) field(list.emplace_back());
  }
  void field(Resources& r) { fields(r.cpu, r.gpu, r.memory); }
  void field(Quota& q) { fields(q.cpu, q.gpu); }
  /// Reads the length of a list and calls `read_element(reader, element)` for each element.
  template <class T, class F>
  void list(std::vector<T>& list, F&& read_element) {
    std::uint64_t size = 0;
    field(size);
    if (!good_ || size > in_.size() - pos_) return fail();
    for (std::uint64_t i = 0; i < size && good_; ++i) read_element(*this, list.emplace_back());
  }
  /// Reads an enumerator. Fails for a number above that of `last`.
  template <class E>
  requires std::is_enum_v<E>
  void field(E& e, E last) {
    std::uint64_t n = 0;
    field(n);
    if (n > static_cast<std::uint64_t>(last)) return fail();
    e = static_cast<E>(n);
  }
  template <class Kind>
  void field(StrongId<Kind>& id) {
    std::uint64_t value = 0;
    field(value);
    id = value;
  }
  template <class... T>
  void fields(T&... all) {
    (field(all), ...);
  }

 private:
  void fail() {
    good_ = false;
    pos_ = in_.size();
  }
  std::string_view in_;
  std::size_t pos_ = 0;
  bool good_ = true;
};

}  // namespace bendtide::codec
