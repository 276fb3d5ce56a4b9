#include "core/model/records.h"

#include "core/model/json_fields.h"

namespace bendtide::records {

namespace {

/// Reads a record. If `read_fields` throws an UnreadableField, returns its error.
template <class Record, class ReadFields>
ReadResult<Record> read_record(const Value& value, ReadFields&& read_fields) {
  try {
    return Record(read_fields(value));
  } catch (const UnreadableField& unreadable_field) {
    return unreadable_field.error;
  }
}

Value quota_to_json(const Quota& quota) { return Value::array({quota.cpu, quota.gpu}); }
Quota read_quota(const Value& value) {
  return {element<std::int64_t>(value, 0), element<std::int64_t>(value, 1)};
}

std::map<std::string, Quota> read_quota_shares(const Value& value) {
  std::map<std::string, Quota> shares;
  for (const auto& [team, share] : value.items())
    shares[team] = with_path_element(team.c_str(), [&value = share] { return read_quota(value); });
  return shares;
}

TaskRange read_task_range(const Value& value) {
  return {element<std::uint32_t>(value, 0), element<std::uint32_t>(value, 1)};
}

Value resources_to_json(const Resources& resources) {
  return Value::array({resources.cpu, resources.gpu, resources.memory});
}
Resources read_resources(const Value& value) {
  return {element<std::int64_t>(value, 0), element<std::int64_t>(value, 1), element<std::int64_t>(value, 2)};
}

Micros read_micros(const Value& value) { return Micros{value_as<std::int64_t>(value)}; }

template <class Enum>
Enum read_enumerator(const Value& value, Enum last) {
  const auto number = value_as<std::uint64_t>(value);
  if (number > static_cast<std::uint64_t>(last)) throw_unreadable(ReadError::Kind::out_of_range);
  return static_cast<Enum>(number);
}
template <class Enum>
Enum read_enumerator_field(const Value& object, const char* key, Enum last) {
  return read_field(object, key, [&](const Value& value) { return read_enumerator(value, last); });
}

Value spec_to_json(const JobSpec& spec) {
  Value out = {{"id", spec.id},
               {"class", spec.job_class},
               {"team", spec.team},
               {"shape", static_cast<int>(spec.shape)},
               {"priority", static_cast<int>(spec.priority)},
               {"tasks", spec.tasks},
               {"each", resources_to_json(spec.task_resources)},
               {"spot", spec.spot},
               {"image", spec.image},
               {"image_gb", spec.image_gb},
               {"estimate", spec.estimated_task_duration.count()}};
  if (!spec.types.empty()) out["types"] = spec.types;
  if (spec.zone) out["zone"] = *spec.zone;
  if (spec.one_zone) out["one_zone"] = true;
  if (spec.spread) out["spread"] = true;
  if (spec.checkpoint_interval.count() > 0) out["checkpoint"] = spec.checkpoint_interval.count();
  if (spec.save_duration.count() > 0) out["save"] = spec.save_duration.count();
  if (spec.deadline) out["deadline"] = spec.deadline->count();
  return out;
}

JobSpec read_job_spec(const Value& value) {
  JobSpec spec;
  spec.id = field<std::string>(value, "id");
  spec.job_class = field<std::string>(value, "class");
  spec.team = field<std::string>(value, "team");
  spec.shape = read_enumerator_field(value, "shape", Shape::service);
  spec.priority = read_enumerator_field(value, "priority", Priority::production);
  spec.tasks = field<std::uint32_t>(value, "tasks");
  spec.task_resources = read_field(value, "each", read_resources);
  spec.spot = field<bool>(value, "spot");
  spec.image = field<std::string>(value, "image");
  spec.image_gb = field<double>(value, "image_gb");
  spec.estimated_task_duration = read_field(value, "estimate", read_micros);
  spec.types = field_or(value, "types", std::vector<std::string>{});
  if (value.contains("zone")) spec.zone = field<std::string>(value, "zone");
  spec.one_zone = field_or(value, "one_zone", false);
  spec.spread = field_or(value, "spread", false);
  spec.checkpoint_interval = Micros{field_or(value, "checkpoint", std::int64_t{0})};
  spec.save_duration = Micros{field_or(value, "save", std::int64_t{0})};
  if (value.contains("deadline")) spec.deadline = read_field(value, "deadline", read_micros);
  return spec;
}

constexpr unsigned kBitsPerDigit = 4;

/// Encodes a bitmap as hexadecimal digits. The lowest bit of each digit comes first in the bitmap.
std::string to_hex(const std::vector<bool>& bits) {
  static constexpr char hex_digits[] = "0123456789abcdef";
  std::string hex;
  hex.reserve(bits.size() / kBitsPerDigit + 1);
  for (std::size_t first = 0; first < bits.size(); first += kBitsPerDigit) {
    unsigned digit = 0;
    for (std::size_t i = first; i < std::min(first + kBitsPerDigit, bits.size()); ++i)
      if (bits[i]) digit |= 1U << (i - first);
    hex += hex_digits[digit];
  }
  return hex;
}

unsigned hex_digit_value(char c) {
  if (c >= '0' && c <= '9') return static_cast<unsigned>(c - '0');
  if (c >= 'a' && c <= 'f') return static_cast<unsigned>(c - 'a') + 10;
  throw_unreadable(ReadError::Kind::out_of_range);
}

/// Decodes a bitmap. Its size is a multiple of kBitsPerDigit; the bits beyond the encoded bitmap are zero.
std::vector<bool> bits_from_hex(const Value& value) {
  if (!value.is_string()) throw_unreadable(ReadError::Kind::wrong_type);
  std::vector<bool> bits;
  for (const char c : value.get_ref<const std::string&>()) {
    const unsigned digit = hex_digit_value(c);
    for (unsigned bit = 0; bit < kBitsPerDigit; ++bit) bits.push_back((digit >> bit & 1U) != 0);
  }
  return bits;
}

}  // namespace

std::string to_string(const ReadError& error) {
  const std::string where = error.field.empty() ? "" : " " + error.field;
  switch (error.kind) {
    case ReadError::Kind::no_record:
      return "no record";
    case ReadError::Kind::missing_field:
      return "missing field" + where;
    case ReadError::Kind::wrong_type:
      return "wrong type" + where;
    case ReadError::Kind::out_of_range:
      break;
  }
  return "out of range" + where;
}

std::vector<std::string> split_key(const std::string& key) {
  std::vector<std::string> segments(1);
  for (char c : key) {
    if (c == '/')
      segments.emplace_back();
    else
      segments.back() += c;
  }
  return segments;
}

Value to_json(const LeaseRecord& lease) {
  Value record = {{"host", lease.host}, {"incarnation", lease.incarnation}};
  if (lease.accepts_returned_tasks) record["returns"] = true;
  return record;
}
ReadResult<LeaseRecord> read_lease_record(const Value& value) {
  return read_record<LeaseRecord>(value, [](const Value& in) {
    return LeaseRecord{field<std::string>(in, "host"), field<std::string>(in, "incarnation"),
                       field_or(in, "returns", false)};
  });
}

Value to_json(const QuotaAllocation& allocation) {
  Value shares = Value::object();
  for (const auto& [team, share] : allocation.quota_shares) shares[team] = quota_to_json(share);
  return {{"shares", shares}};
}
ReadResult<QuotaAllocation> read_quota_allocation(const Value& value) {
  return read_record<QuotaAllocation>(
      value, [](const Value& in) { return QuotaAllocation{read_field(in, "shares", read_quota_shares)}; });
}

Value to_json(const FinalJob& job) { return {{"phase", static_cast<int>(job.phase)}, {"tasks", job.tasks}}; }
ReadResult<FinalJob> read_final_job(const Value& value) {
  return read_record<FinalJob>(value, [](const Value& in) {
    return FinalJob{read_enumerator_field(in, "phase", JobPhase::cancelled),
                    field<std::uint32_t>(in, "tasks")};
  });
}

Value to_json(const LiveJob& job) {
  return {{"part", job.shard}, {"spec", spec_to_json(job.spec)}, {"accepted", job.accepted_at.count()}};
}
ReadResult<LiveJob> read_live_job(const Value& value) {
  return read_record<LiveJob>(value, [](const Value& in) {
    return LiveJob{field<std::string>(in, "part"), read_field(in, "spec", read_job_spec),
                   read_field(in, "accepted", read_micros)};
  });
}

Value to_json(const Award& award) {
  Value ranges = Value::array();
  for (const auto& [first, count] : award.ranges) ranges.push_back({first, count});
  return {{"owner", award.owner}, {"ranges", ranges}, {"job", to_json(award.job)}};
}
ReadResult<Award> read_award(const Value& value) {
  return read_record<Award>(value, [](const Value& in) {
    Award award;
    award.owner = field<std::string>(in, "owner");
    award.ranges = read_field(
        in, "ranges", [](const Value& ranges) { return read_elements<TaskRange>(ranges, read_task_range); });
    award.job = read_field(in, "job", [&](const Value& job) {
      return LiveJob{award.owner, read_field(job, "spec", read_job_spec),
                     read_field(job, "accepted", read_micros)};
    });
    return award;
  });
}

Value to_json(const std::vector<OwnedMachine>& machines) {
  Value out = Value::array();
  for (const OwnedMachine& machine : machines)
    out.push_back({machine.name, machine.type, machine.zone, machine.spot, machine.address,
                   machine.created_at.count()});
  return out;
}
std::size_t max_owned_machine_bytes(const OwnedMachine& machine) {
  constexpr std::size_t overhead_bytes = 48;     // quotes, commas, brackets, the spot flag and created_at
  constexpr std::size_t max_address_bytes = 24;  // reserved because the address may be added later
  return machine.name.size() + machine.type.size() + machine.zone.size() +
         std::max(machine.address.size(), max_address_bytes) + overhead_bytes;
}
ReadResult<std::vector<OwnedMachine>> read_owned_machines(const Value& value) {
  return read_record<std::vector<OwnedMachine>>(value, [](const Value& in) {
    return read_elements<OwnedMachine>(in, [](const Value& entry) {
      return OwnedMachine{element<std::string>(entry, 0), element<std::string>(entry, 1),
                          element<std::string>(entry, 2), element<bool>(entry, 3),
                          element<std::string>(entry, 4), read_element(entry, 5, read_micros)};
    });
  });
}

Value to_json(const std::vector<MachineType>& types) {
  Value out = Value::array();
  for (const MachineType& type : types)
    out.push_back({{"name", type.name},
                   {"size", resources_to_json(type.size)},
                   {"cache_gb", type.cache_gb},
                   {"fetch", type.fetch_gb_per_s},
                   {"price", type.price},
                   {"spot_price", type.spot_price},
                   {"boot", type.boot.count()},
                   {"zones", type.zones}});
  return out;
}
ReadResult<std::vector<MachineType>> read_catalogue(const Value& value) {
  return read_record<std::vector<MachineType>>(value, [](const Value& in) {
    return read_elements<MachineType>(in, [](const Value& entry) {
      MachineType type;
      type.name = field<std::string>(entry, "name");
      type.size = read_field(entry, "size", read_resources);
      type.cache_gb = field<double>(entry, "cache_gb");
      type.fetch_gb_per_s = field<double>(entry, "fetch");
      type.price = field<double>(entry, "price");
      type.spot_price = field<double>(entry, "spot_price");
      type.boot = read_field(entry, "boot", read_micros);
      type.zones = field<std::vector<std::string>>(entry, "zones");
      return type;
    });
  });
}

Value to_json(const std::vector<DoneBits>& done) {
  Value out = Value::array();
  for (const DoneBits& chunk : done) out.push_back({chunk.job, chunk.chunk, to_hex(chunk.bits)});
  return out;
}
std::size_t max_done_bytes(const std::string& job, std::size_t tasks) {
  constexpr std::size_t overhead_bytes = 24;  // quotes, commas, brackets and the number of the chunk
  return job.size() + tasks / kBitsPerDigit + 1 + overhead_bytes;
}
ReadResult<std::vector<DoneBits>> read_done_bits(const Value& value) {
  return read_record<std::vector<DoneBits>>(value, [](const Value& in) {
    return read_elements<DoneBits>(in, [](const Value& entry) {
      return DoneBits{element<std::string>(entry, 0), element<std::uint32_t>(entry, 1),
                      read_element(entry, 2, bits_from_hex)};
    });
  });
}

}  // namespace bendtide::records
