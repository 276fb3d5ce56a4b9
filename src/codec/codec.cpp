#include "codec/codec.h"

#include <bit>
#include <cmath>

namespace bendtide::codec {

namespace {

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
  template <class T, class F>
  void list(const std::vector<T>& list, F&& each) {
    field(std::uint64_t{list.size()});
    for (const T& one : list) each(*this, one);
  }
  template <class E>
  requires std::is_enum_v<E>
  void field(E e, E) { field(static_cast<std::uint64_t>(e)); }
  template <class... T>
  void fields(const T&... all) {
    (field(all), ...);
  }
  std::string take() { return std::move(out_); }

 private:
  std::string out_;
};

/// Once anything does not fit, the reader is bad and stays so; every value read from then on is empty.
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
    std::uint64_t z = 0;
    field(z);
    n = static_cast<std::int64_t>(z >> 1) ^ -static_cast<std::int64_t>(z & 1);
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
    std::int64_t n = 0;
    field(n);
    m = Micros{n};
  }
  void field(double& d) {
    std::uint64_t n = 0;
    field(n);
    d = std::bit_cast<double>(n);
    if (!std::isfinite(d)) fail();
  }
  template <class T>
  void field(std::optional<T>& o) {
    bool there = false;
    field(there);
    if (there) field(o.emplace());
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
  template <class T, class F>
  void list(std::vector<T>& list, F&& each) {
    std::uint64_t size = 0;
    field(size);
    if (!good_ || size > in_.size() - pos_) return fail();
    for (std::uint64_t i = 0; i < size && good_; ++i) each(*this, list.emplace_back());
  }
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

// One description per message serves both directions.
template <class A, class M>
requires std::is_same_v<std::remove_const_t<M>, JobSpec>
void describe(A& a, M& m) {
  a.fields(m.id, m.job_class, m.team);
  a.field(m.shape, Shape::service), a.field(m.priority, Priority::production);
  a.fields(m.tasks, m.each, m.types, m.zone, m.one_zone, m.spread, m.spot, m.image, m.image_gb, m.estimate,
           m.checkpoint, m.save, m.deadline);
}
template <class A, class M>
requires std::is_same_v<std::remove_const_t<M>, JobQuery>
void describe(A& a, M& m) {
  a.field(m.id), a.field(m.kind, JobQuery::Kind::submit), a.fields(m.job, m.fresh);
  if (m.kind == JobQuery::Kind::submit) describe(a, m.spec);
}
template <class A, class M>
requires std::is_same_v<std::remove_const_t<M>, JobReply>
void describe(A& a, M& m) {
  a.fields(m.id, m.status), a.field(m.phase, JobPhase::cancelled), a.fields(m.done, m.running);
}
template <class A, class M>
requires std::is_same_v<std::remove_const_t<M>, CallForProposals>
void describe(A& a, M& m) {
  a.fields(m.id, m.round, m.from_shard, m.job, m.team, m.tasks, m.each, m.types, m.zone, m.spot, m.image,
           m.spare_quota, m.disclosed);
  a.field(m.priority, Priority::production), a.field(m.deadline_in);
}
template <class A, class M>
requires std::is_same_v<std::remove_const_t<M>, Proposal>
void describe(A& a, M& m) {
  a.fields(m.id, m.round, m.shard, m.tasks, m.start_delay, m.load_permille, m.quota_revision,
           m.free_quota_share);
}
template <class A, class M>
requires std::is_same_v<std::remove_const_t<M>, AwardNotice> ||
    std::is_same_v<std::remove_const_t<M>, FailbackRequest> ||
    std::is_same_v<std::remove_const_t<M>, ProgressNotice>
void describe(A& a, M& m) { a.field(m.shard); }
template <class A, class M>
requires std::is_same_v<std::remove_const_t<M>, PeerHealth>
void describe(A& a, M& m) { a.fields(m.store_responsive, m.your_heartbeats); }
template <class A, class M>
requires std::is_same_v<std::remove_const_t<M>, LeaseTransfer>
void describe(A& a, M& m) {
  a.fields(m.shard, m.fencing_token, m.asked_for);
  a.list(m.unreachable, [](auto& b, auto& s) {
    b.fields(s.machine, s.status_ago, s.reply_ago);
    b.list(s.tasks, [](auto& c, auto& t) {
      c.fields(t.task.job, t.task.index, t.attempt), c.field(t.phase, TaskPhase::exited);
    });
  });
}
template <class A, class M>
requires std::is_same_v<std::remove_const_t<M>, CapacityExhausted>
void describe(A& a, M& m) { a.fields(m.type, m.zone, m.spot); }
template <class A, class M>
requires std::is_same_v<std::remove_const_t<M>, QuotaTransferRequest>
void describe(A& a, M& m) { a.fields(m.from, m.to, m.team, m.want, m.waits_since); }
template <class A, class M>
requires std::is_same_v<std::remove_const_t<M>, JobEndNotice>
void describe(A& a, M& m) { a.field(m.job); }

template <std::size_t I = 0>
bool read_message(std::uint64_t kind, Reader& reader, PeerMessage& out) {
  if constexpr (I < std::variant_size_v<PeerMessage>) {
    if (kind != I) return read_message<I + 1>(kind, reader, out);
    std::variant_alternative_t<I, PeerMessage> m;
    describe(reader, m);
    out = std::move(m);
    return reader.good();
  }
  return false;
}

}  // namespace

std::string encode(const Envelope& envelope) {
  Writer payload;
  payload.field(std::uint64_t{envelope.message.index()});
  payload.field(envelope.sender);
  std::visit([&](const auto& m) { describe(payload, m); }, envelope.message);
  const std::string body = payload.take();
  Writer head;
  head.field(std::uint64_t{body.size()});
  std::string out{static_cast<char>(kMagic), static_cast<char>(kVersion)};
  return out + head.take() + body;
}

Decoded decode(std::string_view bytes) {
  Decoded out;
  auto bad = [&] {
    out.state = Decoded::State::malformed;
    return out;
  };
  if (!bytes.empty() && static_cast<unsigned char>(bytes[0]) != kMagic) return bad();
  if (bytes.size() > 1 && static_cast<unsigned char>(bytes[1]) != kVersion) return bad();
  if (bytes.size() < 3) return out;
  Reader head(bytes.substr(2));
  std::uint64_t length = 0;
  head.field(length);
  if (!head.good()) return bytes.size() >= 12 ? bad() : out;
  if (length > kLongestFrame) return bad();
  const std::size_t begin = 2 + head.position();
  if (bytes.size() - begin < length) return out;
  Reader payload(bytes.substr(begin, length));
  std::uint64_t kind = 0;
  payload.field(kind);
  payload.field(out.envelope.sender);
  if (!payload.good() || !read_message(kind, payload, out.envelope.message) || !payload.at_end())
    return bad();
  out.consumed = begin + length;
  out.state = Decoded::State::complete;
  return out;
}

}  // namespace bendtide::codec
