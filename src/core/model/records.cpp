#include "core/model/records.h"

namespace bendtide::records {

namespace {

/// Reads a record with nlohmann's checked accessors; whatever does not fit makes it none.
template <class T, class F>
std::optional<T> read(const Value& v, F&& fill) {
  try {
    T out;
    fill(out, v);
    return out;
  } catch (const Value::exception&) {
    return std::nullopt;
  }
}

Value quota_json(const Quota& q) { return Value::array({q.cpu, q.gpu}); }
Quota quota(const Value& v) { return {v.at(0).get<std::int64_t>(), v.at(1).get<std::int64_t>()}; }
Value resources_json(const Resources& r) { return Value::array({r.cpu, r.gpu, r.memory}); }
Resources resources(const Value& v) {
  return {v.at(0).get<std::int64_t>(), v.at(1).get<std::int64_t>(), v.at(2).get<std::int64_t>()};
}
Micros micros(const Value& v) { return Micros{v.get<std::int64_t>()}; }

template <class E>
E enumerator(const Value& v, E last) {
  auto n = v.get<std::uint64_t>();
  if (n > static_cast<std::uint64_t>(last)) throw Value::out_of_range::create(401, "enumerator", &v);
  return static_cast<E>(n);
}

Value spec_json(const JobSpec& s) {
  Value out = {{"id", s.id},
               {"class", s.job_class},
               {"team", s.team},
               {"shape", static_cast<int>(s.shape)},
               {"priority", static_cast<int>(s.priority)},
               {"tasks", s.tasks},
               {"each", resources_json(s.each)},
               {"spot", s.spot},
               {"image", s.image},
               {"image_gb", s.image_gb},
               {"estimate", s.estimate.count()}};
  if (!s.types.empty()) out["types"] = s.types;
  if (s.zone) out["zone"] = *s.zone;
  if (s.one_zone) out["one_zone"] = true;
  if (s.spread) out["spread"] = true;
  if (s.checkpoint.count() > 0) out["checkpoint"] = s.checkpoint.count();
  if (s.save.count() > 0) out["save"] = s.save.count();
  if (s.deadline) out["deadline"] = s.deadline->count();
  return out;
}

JobSpec spec(const Value& v) {
  JobSpec s;
  s.id = v.at("id").get<std::string>();
  s.job_class = v.at("class").get<std::string>();
  s.team = v.at("team").get<std::string>();
  s.shape = enumerator(v.at("shape"), Shape::service);
  s.priority = enumerator(v.at("priority"), Priority::production);
  s.tasks = v.at("tasks").get<std::uint32_t>();
  s.each = resources(v.at("each"));
  s.spot = v.at("spot").get<bool>();
  s.image = v.at("image").get<std::string>();
  s.image_gb = v.at("image_gb").get<double>();
  s.estimate = micros(v.at("estimate"));
  s.types = v.value("types", std::vector<std::string>{});
  if (v.contains("zone")) s.zone = v.at("zone").get<std::string>();
  s.one_zone = v.value("one_zone", false);
  s.spread = v.value("spread", false);
  s.checkpoint = Micros{v.value("checkpoint", std::int64_t{0})};
  s.save = Micros{v.value("save", std::int64_t{0})};
  if (v.contains("deadline")) s.deadline = micros(v.at("deadline"));
  return s;
}

}  // namespace

std::vector<std::string> split_key(const std::string& key) {
  std::vector<std::string> pieces(1);
  for (char c : key) {
    if (c == '/')
      pieces.emplace_back();
    else
      pieces.back() += c;
  }
  return pieces;
}

Value to_json(const LeaseRecord& h) { return {{"host", h.host}, {"incarnation", h.incarnation}}; }
std::optional<LeaseRecord> lease_record(const Value& v) {
  return read<LeaseRecord>(v, [](LeaseRecord& out, const Value& in) {
    out.host = in.at("host").get<std::string>();
    out.incarnation = in.at("incarnation").get<std::string>();
  });
}

Value to_json(const QuotaAllocation& r) {
  Value quota_shares = Value::object();
  for (const auto& [team, share] : r.quota_shares) quota_shares[team] = quota_json(share);
  return {{"shares", quota_shares}};
}
std::optional<QuotaAllocation> quota_allocation(const Value& v) {
  return read<QuotaAllocation>(v, [](QuotaAllocation& out, const Value& in) {
    for (const auto& [team, share] : in.at("shares").items()) out.quota_shares[team] = quota(share);
  });
}

Value to_json(const FinalJob& e) { return {{"phase", static_cast<int>(e.phase)}, {"tasks", e.tasks}}; }
std::optional<FinalJob> final_job(const Value& v) {
  return read<FinalJob>(v, [](FinalJob& out, const Value& in) {
    out.phase = enumerator(in.at("phase"), JobPhase::cancelled);
    out.tasks = in.at("tasks").get<std::uint32_t>();
  });
}

Value to_json(const LiveJob& j) {
  return {{"part", j.shard}, {"spec", spec_json(j.spec)}, {"accepted", j.accepted.count()}};
}
std::optional<LiveJob> live_job(const Value& v) {
  return read<LiveJob>(v, [](LiveJob& out, const Value& in) {
    out.shard = in.at("part").get<std::string>();
    out.spec = spec(in.at("spec"));
    out.accepted = micros(in.at("accepted"));
  });
}

Value to_json(const Award& a) {
  Value ranges = Value::array();
  for (const auto& [first, count] : a.ranges) ranges.push_back({first, count});
  return {{"owner", a.owner}, {"ranges", ranges}, {"job", to_json(a.job)}};
}
std::optional<Award> award(const Value& v) {
  return read<Award>(v, [](Award& out, const Value& in) {
    out.owner = in.at("owner").get<std::string>();
    for (const Value& range : in.at("ranges"))
      out.ranges.emplace_back(range.at(0).get<std::uint32_t>(), range.at(1).get<std::uint32_t>());
    const Value& job = in.at("job");
    out.job.shard = out.owner;
    out.job.spec = spec(job.at("spec"));
    out.job.accepted = micros(job.at("accepted"));
  });
}

Value to_json(const std::vector<OwnedMachine>& machines) {
  Value out = Value::array();
  for (const OwnedMachine& m : machines)
    out.push_back({m.name, m.type, m.zone, m.spot, m.address, m.rented_at.count()});
  return out;
}
std::size_t owned_machine_bytes(const OwnedMachine& m) {
  constexpr std::size_t overhead = 48;         // quotes, commas, brackets, the flag and the time
  constexpr std::size_t longest_address = 24;  // it may come later
  return m.name.size() + m.type.size() + m.zone.size() + std::max(m.address.size(), longest_address) +
         overhead;
}
std::optional<std::vector<OwnedMachine>> owned_machines(const Value& v) {
  return read<std::vector<OwnedMachine>>(v, [](std::vector<OwnedMachine>& out, const Value& in) {
    for (const Value& entry : in)
      out.push_back({entry.at(0).get<std::string>(), entry.at(1).get<std::string>(),
                     entry.at(2).get<std::string>(), entry.at(3).get<bool>(), entry.at(4).get<std::string>(),
                     micros(entry.at(5))});
  });
}

Value to_json(const std::vector<MachineType>& types) {
  Value out = Value::array();
  for (const MachineType& t : types)
    out.push_back({{"name", t.name},
                   {"size", resources_json(t.size)},
                   {"cache_gb", t.cache_gb},
                   {"fetch", t.fetch_gb_per_s},
                   {"price", t.price},
                   {"spot_price", t.spot_price},
                   {"boot", t.boot.count()},
                   {"zones", t.zones}});
  return out;
}
std::optional<std::vector<MachineType>> catalogue(const Value& v) {
  return read<std::vector<MachineType>>(v, [](std::vector<MachineType>& out, const Value& in) {
    for (const Value& entry : in) {
      MachineType t;
      t.name = entry.at("name").get<std::string>();
      t.size = resources(entry.at("size"));
      t.cache_gb = entry.at("cache_gb").get<double>();
      t.fetch_gb_per_s = entry.at("fetch").get<double>();
      t.price = entry.at("price").get<double>();
      t.spot_price = entry.at("spot_price").get<double>();
      t.boot = micros(entry.at("boot"));
      t.zones = entry.at("zones").get<std::vector<std::string>>();
      out.push_back(std::move(t));
    }
  });
}

Value to_json(const std::vector<DoneBits>& done) {
  static constexpr char digits[] = "0123456789abcdef";
  Value out = Value::array();
  for (const DoneBits& d : done) {
    std::string hex;
    hex.reserve(d.bits.size() / 4 + 1);
    for (std::size_t i = 0; i < d.bits.size(); i += 4) {
      int nibble = 0;
      for (std::size_t j = i; j < std::min(i + 4, d.bits.size()); ++j) nibble |= d.bits[j] ? 1 << (j - i) : 0;
      hex += digits[nibble];
    }
    out.push_back({d.job, d.chunk, std::move(hex)});
  }
  return out;
}
std::size_t done_bytes(const std::string& job, std::size_t tasks) {
  constexpr std::size_t overhead = 24;  // quotes, commas, brackets, the chunk's number
  return job.size() + tasks / 4 + 1 + overhead;
}
std::optional<std::vector<DoneBits>> done(const Value& v) {
  return read<std::vector<DoneBits>>(v, [](std::vector<DoneBits>& out, const Value& in) {
    for (const Value& entry : in) {
      DoneBits d{entry.at(0).get<std::string>(), entry.at(1).get<std::uint32_t>(), {}};
      for (char c : entry.at(2).get_ref<const std::string&>()) {
        const int nibble = c >= '0' && c <= '9' ? c - '0' : c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
        if (nibble < 0) throw Value::out_of_range::create(401, "bitmap", &entry);
        for (int j = 0; j < 4; ++j) d.bits.push_back((nibble >> j & 1) != 0);
      }
      out.push_back(std::move(d));
    }
  });
}

}  // namespace bendtide::records
