#include "codec/codec.h"

#include <bit>
#include <cmath>
#include <concepts>

namespace bendtide::codec {

namespace {

constexpr std::size_t kShortestHead = 3;  ///< magic, version and a length of one byte
constexpr std::size_t kLongestHead = 12;  ///< with a length of ten bytes, the longest that a number has

/// Appends fields to a string.
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

template <class T, class Plain>
concept MaybeConst = std::same_as<std::remove_const_t<T>, Plain>;

// One description per message serves both directions: an Archive is a Writer or a Reader, and the message is
// const for a Writer. The order of the fields is the format.
template <class Archive, MaybeConst<JobSpec> Message>
void describe(Archive& archive, Message& message) {
  archive.fields(message.id, message.job_class, message.team);
  archive.field(message.shape, Shape::service);
  archive.field(message.priority, Priority::production);
  archive.fields(message.tasks, message.each, message.types, message.zone, message.one_zone, message.spread,
                 message.spot, message.image, message.image_gb, message.estimate, message.checkpoint,
                 message.save, message.deadline);
}
template <class Archive, MaybeConst<JobQuery> Message>
void describe(Archive& archive, Message& message) {
  archive.field(message.id);
  archive.field(message.kind, JobQuery::Kind::submit);
  archive.fields(message.job, message.fresh);
  if (message.kind == JobQuery::Kind::submit) describe(archive, message.spec);
}
template <class Archive, MaybeConst<JobReply> Message>
void describe(Archive& archive, Message& message) {
  archive.fields(message.id, message.status);
  archive.field(message.phase, JobPhase::cancelled);
  archive.fields(message.done, message.running);
}
template <class Archive, MaybeConst<CallForProposals> Message>
void describe(Archive& archive, Message& message) {
  archive.fields(message.id, message.round, message.from_shard, message.job, message.team, message.tasks,
                 message.each, message.types, message.zone, message.spot, message.image, message.spare_quota,
                 message.disclosed);
  archive.field(message.priority, Priority::production);
  archive.field(message.deadline_in);
}
template <class Archive, MaybeConst<Proposal> Message>
void describe(Archive& archive, Message& message) {
  archive.fields(message.id, message.round, message.shard, message.tasks, message.start_delay,
                 message.load_permille, message.quota_revision, message.free_quota_share);
}
template <class Archive, class Message>
requires MaybeConst<Message, AwardNotice> || MaybeConst<Message, FailbackRequest> ||
    MaybeConst<Message, ProgressNotice>
void describe(Archive& archive, Message& message) { archive.field(message.shard); }
template <class Archive, MaybeConst<PeerHealth> Message>
void describe(Archive& archive, Message& message) {
  archive.fields(message.store_responsive, message.your_heartbeats);
}
template <class Archive, MaybeConst<TaskStatus> Message>
void describe(Archive& archive, Message& message) {
  archive.fields(message.task.job, message.task.index, message.attempt);
  archive.field(message.phase, TaskPhase::exited);
}
template <class Archive, MaybeConst<UnreachableMachine> Message>
void describe(Archive& archive, Message& message) {
  archive.fields(message.machine, message.status_ago, message.reply_ago);
  archive.list(message.tasks, [](auto& nested, auto& task) { describe(nested, task); });
}
template <class Archive, MaybeConst<LeaseTransfer> Message>
void describe(Archive& archive, Message& message) {
  archive.fields(message.shard, message.fencing_token, message.asked_for);
  archive.list(message.unreachable, [](auto& nested, auto& unreachable) { describe(nested, unreachable); });
}
template <class Archive, MaybeConst<CapacityExhausted> Message>
void describe(Archive& archive, Message& message) {
  archive.fields(message.type, message.zone, message.spot);
}
template <class Archive, MaybeConst<QuotaTransferRequest> Message>
void describe(Archive& archive, Message& message) {
  archive.fields(message.from, message.to, message.team, message.want, message.waits_since);
}
template <class Archive, MaybeConst<JobEndNotice> Message>
void describe(Archive& archive, Message& message) {
  archive.field(message.job);
}

/// Null if there is no such kind of message, or its fields do not fit.
template <std::size_t I = 0>
std::optional<PeerMessage> read_message(std::uint64_t kind, Reader& reader) {
  if constexpr (I < std::variant_size_v<PeerMessage>) {
    if (kind != I) return read_message<I + 1>(kind, reader);
    std::variant_alternative_t<I, PeerMessage> message;
    describe(reader, message);
    if (reader.good()) return message;
  }
  return std::nullopt;
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
  auto malformed = [&] {
    out.state = Decoded::State::malformed;
    return out;
  };
  if (!bytes.empty() && static_cast<unsigned char>(bytes[0]) != kMagic) return malformed();
  if (bytes.size() > 1 && static_cast<unsigned char>(bytes[1]) != kVersion) return malformed();
  if (bytes.size() < kShortestHead) return out;
  Reader head(bytes.substr(2));
  std::uint64_t length = 0;
  head.field(length);
  if (!head.good()) return bytes.size() >= kLongestHead ? malformed() : out;
  if (length > kLongestFrame) return malformed();
  const std::size_t begin = 2 + head.position();
  if (bytes.size() - begin < length) return out;
  Reader payload(bytes.substr(begin, length));
  std::uint64_t kind = 0;
  payload.field(kind);
  payload.field(out.envelope.sender);
  if (!payload.good()) return malformed();
  auto message = read_message(kind, payload);
  if (!message || !payload.at_end()) return malformed();
  out.envelope.message = std::move(*message);
  out.consumed = begin + length;
  out.state = Decoded::State::complete;
  return out;
}

}  // namespace bendtide::codec
