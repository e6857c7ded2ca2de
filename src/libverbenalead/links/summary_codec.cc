#include "links/summary_codec.h"

#include <boost/json.hpp>

#include "links/crash_report_codec.h"
#include "links/revision_codec.h"
#include "links/statement_codec.h"
#include "model/json_fields.h"

namespace verbenalead::links {
namespace {

namespace json = boost::json;

// Indices in the array that encodes an entry.
constexpr size_t kHost = 0;
constexpr size_t kCallers = 1;
constexpr size_t kPeers = 2;
constexpr size_t kReady = 3;
constexpr size_t kEntryFields = 4;

// Indices in the array that encodes a replica.
constexpr size_t kReplica = 0;
constexpr size_t kVersion = 1;
constexpr size_t kFlags = 2;
constexpr size_t kCalls = 3;
constexpr size_t kUnread = 4;
constexpr size_t kWaiting = 5;
constexpr size_t kReplicaFields = 6;

constexpr char kStarts[] = "starts";
constexpr int64_t kClosingFlag = 1;
constexpr int64_t kLoadingFlag = 2;

/// Returns the array `name` of `object`; fails if there is none.
Result<const json::array*> ListField(const json::object& object,
                                     const char* name) {
  const json::value* value = object.if_contains(name);
  const json::array* list = value ? value->if_array() : nullptr;
  if (!list)
    return model::BadField(name, "a list");
  return list;
}

Result<std::string> TextAt(const json::array& list, size_t index) {
  const json::string* text = list[index].if_string();
  if (!text)
    return model::BadField("summary",
                           "a text at place " + std::to_string(index));
  return std::string(*text);
}

Result<int64_t> NumberAt(const json::array& list, size_t index) {
  const int64_t* number = list[index].if_int64();
  if (!number || *number < 0)
    return model::BadField("summary",
                           "a whole number at place " + std::to_string(index));
  return *number;
}

json::array EncodeEntry(const EntrySummary& entry) {
  return {entry.m_host, ToString(entry.m_callers), ToString(entry.m_peers),
          entry.m_ready ? 1 : 0};
}

Result<EntrySummary> DecodeEntry(const json::value& value) {
  const json::array* list = value.if_array();
  if (!list || list->size() != kEntryFields)
    return model::BadField("entries", "lists of four");
  EntrySummary entry;
  BOOST_LEAF_ASSIGN(entry.m_host, TextAt(*list, kHost));
  BOOST_LEAF_AUTO(callers, TextAt(*list, kCallers));
  BOOST_LEAF_ASSIGN(entry.m_callers, ParseEndpoint(callers));
  BOOST_LEAF_AUTO(peers, TextAt(*list, kPeers));
  BOOST_LEAF_ASSIGN(entry.m_peers, ParseEndpoint(peers));
  BOOST_LEAF_AUTO(ready, NumberAt(*list, kReady));
  entry.m_ready = ready != 0;
  return entry;
}

json::array EncodeReplica(const ReplicaSummary& replica) {
  const int64_t flags = (replica.m_closing ? kClosingFlag : 0) |
                        (replica.m_loading ? kLoadingFlag : 0);
  return {replica.m_replica,
          replica.m_version,
          flags,
          replica.m_calls.m_calls,
          replica.m_calls.m_unread_tokens,
          replica.m_queued_calls};
}

Result<ReplicaSummary> DecodeReplica(const json::value& value) {
  const json::array* list = value.if_array();
  if (!list || list->size() != kReplicaFields)
    return model::BadField("replicas", "lists of six");
  ReplicaSummary replica;
  BOOST_LEAF_ASSIGN(replica.m_replica, TextAt(*list, kReplica));
  BOOST_LEAF_AUTO(version, NumberAt(*list, kVersion));
  BOOST_LEAF_AUTO(flags, NumberAt(*list, kFlags));
  BOOST_LEAF_AUTO(calls, NumberAt(*list, kCalls));
  BOOST_LEAF_AUTO(unread, NumberAt(*list, kUnread));
  BOOST_LEAF_AUTO(waiting, NumberAt(*list, kWaiting));
  replica.m_version = static_cast<uint64_t>(version);
  replica.m_closing = (flags & kClosingFlag) != 0;
  replica.m_loading = (flags & kLoadingFlag) != 0;
  replica.m_calls.m_calls = static_cast<uint32_t>(calls);
  replica.m_calls.m_unread_tokens = static_cast<uint64_t>(unread);
  replica.m_queued_calls = static_cast<uint32_t>(waiting);
  return replica;
}

/// The starts of the incarnations of the replicas, in their order. Left out if
/// no replica states its start.
void EncodeStarts(json::object& object,
                  const std::vector<ReplicaSummary>& replicas) {
  json::array starts;
  bool stated = false;
  for (const ReplicaSummary& replica : replicas) {
    starts.push_back(replica.m_started_ms);
    stated |= replica.m_started_ms > 0;
  }
  if (stated)
    object[kStarts] = std::move(starts);
}

Result<void> DecodeStarts(const json::object& object,
                          std::vector<ReplicaSummary>& replicas) {
  if (!object.contains(kStarts))
    return {};
  BOOST_LEAF_AUTO(starts, ListField(object, kStarts));
  if (starts->size() != replicas.size())
    return model::BadField(kStarts, "a start for each replica");
  for (size_t i = 0; i < replicas.size(); ++i) {
    BOOST_LEAF_AUTO(started, NumberAt(*starts, i));
    replicas[i].m_started_ms = static_cast<uint64_t>(started);
  }
  return {};
}

}  // namespace

json::object EncodeSummary(const DataCenterSummary& summary) {
  json::array entries;
  for (const EntrySummary& entry : summary.m_entries)
    entries.push_back(EncodeEntry(entry));
  json::array replicas;
  for (const ReplicaSummary& replica : summary.m_replicas)
    replicas.push_back(EncodeReplica(replica));
  json::object object = {
      {"data_center", summary.m_data_center},
      {"sender", summary.m_sender},
      {"number", summary.m_sequence},
      {"relayed", summary.m_relayed},
      {"revision", summary.m_operator_revision.m_number},
      {"era", summary.m_operator_revision.m_era},
      {"proof_ms", ToMilliseconds(summary.m_operator_confirmed_at)},
      {"entries", std::move(entries)},
      {"replicas", std::move(replicas)},
      {"crashes", EncodeCrashes(summary.m_crashes)}};
  if (summary.m_era_age)
    object["era_age_ms"] = ToMilliseconds(*summary.m_era_age);
  EncodeStarts(object, summary.m_replicas);
  EncodeCrashReports(object, summary.m_crash_reports);
  EncodeStatementList(object, summary.m_statements);
  return object;
}

Result<DataCenterSummary> DecodeSummary(const json::object& object) {
  DataCenterSummary summary;
  BOOST_LEAF_ASSIGN(summary.m_data_center,
                    model::TextField(object, "data_center"));
  BOOST_LEAF_ASSIGN(summary.m_sender, model::TextField(object, "sender"));
  BOOST_LEAF_ASSIGN(summary.m_sequence, model::NumberField(object, "number"));
  BOOST_LEAF_ASSIGN(summary.m_relayed,
                    model::FlagFieldOr(object, "relayed", false));
  BOOST_LEAF_ASSIGN(summary.m_operator_revision, DecodeRevision(object));
  if (object.contains("era_age_ms")) {
    BOOST_LEAF_AUTO(age, model::NumberField(object, "era_age_ms"));
    summary.m_era_age = std::chrono::milliseconds(age);
  }
  BOOST_LEAF_AUTO(proof, model::NumberField(object, "proof_ms"));
  summary.m_operator_confirmed_at = std::chrono::milliseconds(proof);
  BOOST_LEAF_AUTO(entries, ListField(object, "entries"));
  for (const json::value& value : *entries) {
    BOOST_LEAF_AUTO(entry, DecodeEntry(value));
    summary.m_entries.push_back(std::move(entry));
  }
  BOOST_LEAF_AUTO(replicas, ListField(object, "replicas"));
  for (const json::value& value : *replicas) {
    BOOST_LEAF_AUTO(replica, DecodeReplica(value));
    summary.m_replicas.push_back(std::move(replica));
  }
  BOOST_LEAF_CHECK(DecodeStarts(object, summary.m_replicas));
  BOOST_LEAF_ASSIGN(summary.m_crashes, DecodeCrashes(object));
  BOOST_LEAF_ASSIGN(summary.m_crash_reports, DecodeCrashReports(object));
  BOOST_LEAF_ASSIGN(summary.m_statements, DecodeStatementList(object));
  return summary;
}

json::array EncodeCrashes(const std::vector<decide::CrashRecord>& crashes) {
  json::array records;
  for (const decide::CrashRecord& record : crashes) {
    records.push_back(json::object{{"request", std::to_string(record.m_key)},
                                   {"replica", record.m_target}});
  }
  return records;
}

Result<std::vector<decide::CrashRecord>> DecodeCrashes(
    const json::object& object) {
  BOOST_LEAF_AUTO(list, ListField(object, "crashes"));
  std::vector<decide::CrashRecord> crashes;
  for (const json::value& value : *list) {
    if (!value.is_object())
      return model::BadField("crashes", "objects");
    decide::CrashRecord record;
    BOOST_LEAF_AUTO(request, model::TextField(value.as_object(), "request"));
    record.m_key = std::strtoull(request.c_str(), nullptr, 10);
    BOOST_LEAF_ASSIGN(record.m_target,
                      model::TextField(value.as_object(), "replica"));
    crashes.push_back(std::move(record));
  }
  return crashes;
}

}  // namespace verbenalead::links
