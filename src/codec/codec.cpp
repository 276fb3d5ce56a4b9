#include "codec/codec.h"

#include <concepts>

#include "codec/archive.h"

namespace bendtide::codec {

namespace {

constexpr std::size_t kMinHeaderBytes = 3;   ///< magic, version and a length of one byte
constexpr std::size_t kMaxHeaderBytes = 12;  ///< magic, version and a length of ten bytes

template <class T, class Plain>
concept MaybeConst = std::same_as<std::remove_const_t<T>, Plain>;

// One function per message serves both encoding and decoding: Archive is a Writer or a Reader, and the
// message is const for a Writer. The order of the fields is part of the format.
template <class Archive, MaybeConst<JobSpec> Message>
void serialize(Archive& archive, Message& message) {
  archive.fields(message.id, message.job_class, message.team);
  archive.field(message.shape, Shape::service);
  archive.field(message.priority, Priority::production);
  archive.fields(message.tasks, message.task_resources, message.types, message.zone, message.one_zone,
                 message.spread, message.spot, message.image, message.image_gb,
                 message.estimated_task_duration, message.checkpoint_interval, message.save_duration,
                 message.deadline);
}
template <class Archive, MaybeConst<JobQuery> Message>
void serialize(Archive& archive, Message& message) {
  archive.field(message.id);
  archive.field(message.kind, JobQuery::Kind::submit);
  archive.fields(message.job, message.may_read_store);
  if (message.kind == JobQuery::Kind::submit) serialize(archive, message.spec);
}
template <class Archive, MaybeConst<JobReply> Message>
void serialize(Archive& archive, Message& message) {
  archive.fields(message.id, message.status);
  archive.field(message.phase, JobPhase::cancelled);
  archive.fields(message.done, message.running);
}
template <class Archive, MaybeConst<CallForProposals> Message>
void serialize(Archive& archive, Message& message) {
  archive.fields(message.id, message.round, message.from_shard, message.job, message.team, message.tasks,
                 message.task_resources, message.types, message.zone, message.spot, message.image,
                 message.spare_quota, message.disclosed);
  archive.field(message.priority, Priority::production);
  archive.field(message.time_to_deadline);
}
template <class Archive, MaybeConst<Proposal> Message>
void serialize(Archive& archive, Message& message) {
  archive.fields(message.id, message.round, message.shard, message.tasks, message.start_delay,
                 message.load_permille, message.quota_revision, message.free_quota_share);
}
template <class Archive, class Message>
requires MaybeConst<Message, AwardNotice> || MaybeConst<Message, FailbackRequest> ||
    MaybeConst<Message, ProgressNotice>
void serialize(Archive& archive, Message& message) { archive.field(message.shard); }
template <class Archive, MaybeConst<PeerHealth> Message>
void serialize(Archive& archive, Message& message) {
  archive.fields(message.store_responsive, message.redirected_heartbeats);
}
template <class Archive, MaybeConst<TaskStatus> Message>
void serialize(Archive& archive, Message& message) {
  archive.fields(message.task.job, message.task.index, message.attempt);
  archive.field(message.phase, TaskPhase::exited);
}
template <class Archive, MaybeConst<UnreachableMachine> Message>
void serialize(Archive& archive, Message& message) {
  archive.fields(message.machine, message.since_last_status, message.since_last_reply);
  archive.list(message.tasks, [](auto& nested, auto& task) { serialize(nested, task); });
}
template <class Archive, MaybeConst<LeaseTransfer> Message>
void serialize(Archive& archive, Message& message) {
  archive.fields(message.shard, message.fencing_token, message.is_failback);
  archive.list(message.unreachable, [](auto& nested, auto& unreachable) { serialize(nested, unreachable); });
}
template <class Archive, MaybeConst<CapacityExhausted> Message>
void serialize(Archive& archive, Message& message) {
  archive.fields(message.type, message.zone, message.spot);
}
template <class Archive, MaybeConst<QuotaTransferRequest> Message>
void serialize(Archive& archive, Message& message) {
  archive.fields(message.from, message.to, message.team, message.max_amount, message.job_accepted_at);
}
template <class Archive, MaybeConst<JobEndNotice> Message>
void serialize(Archive& archive, Message& message) {
  archive.field(message.job);
}

/// Returns nothing if there is no message of this kind or its fields are malformed.
template <std::size_t I = 0>
std::optional<PeerMessage> read_message(std::uint64_t kind, Reader& reader) {
  if constexpr (I < std::variant_size_v<PeerMessage>) {
    if (kind != I) return read_message<I + 1>(kind, reader);
    std::variant_alternative_t<I, PeerMessage> message;
    serialize(reader, message);
    if (reader.good()) return message;
  }
  return std::nullopt;
}

}  // namespace

std::string encode(const Envelope& envelope) {
  Writer payload;
  payload.field(std::uint64_t{envelope.message.index()});
  payload.field(envelope.sender);
  std::visit([&](const auto& m) { serialize(payload, m); }, envelope.message);
  const std::string body = payload.take();
  Writer length;
  length.field(std::uint64_t{body.size()});
  std::string out{static_cast<char>(kMagic), static_cast<char>(kVersion)};
  return out + length.take() + body;
}

Decoded decode(std::string_view bytes) {
  Decoded out;
  auto malformed = [&] {
    out.state = Decoded::State::malformed;
    return out;
  };
  if (!bytes.empty() && static_cast<unsigned char>(bytes[0]) != kMagic) return malformed();
  if (bytes.size() > 1 && static_cast<unsigned char>(bytes[1]) != kVersion) return malformed();
  if (bytes.size() < kMinHeaderBytes) return out;
  Reader header(bytes.substr(2));
  std::uint64_t length = 0;
  header.field(length);
  if (!header.good()) return bytes.size() >= kMaxHeaderBytes ? malformed() : out;
  if (length > kMaxPayloadBytes) return malformed();
  const std::size_t begin = 2 + header.position();
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
