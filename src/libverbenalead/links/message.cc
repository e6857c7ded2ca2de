#include "links/message.h"

#include <algorithm>
#include <boost/json.hpp>
#include <limits>

#include "links/crash_report_codec.h"
#include "links/declaration_codec.h"
#include "links/evacuation_codec.h"
#include "links/rate_limit_codec.h"
#include "links/revision_codec.h"
#include "links/statement_codec.h"
#include "links/summary_codec.h"
#include "model/json_fields.h"
#include "model/rank.h"

namespace verbenalead::links {
namespace {

namespace json = boost::json;

constexpr char kEntry[] = "entry";
constexpr char kCalls[] = "calls";
constexpr char kReplica[] = "replica";
constexpr char kChunks[] = "chunks";
constexpr char kOriginFetches[] = "draws";
constexpr char kFollow[] = "follow";
constexpr char kSlotRequest[] = "ask";
constexpr char kSlotAnswer[] = "answer";
constexpr char kSlotWithdrawal[] = "withdraw";
constexpr char kSummary[] = "summary";
constexpr char kTokenRequest[] = "token_ask";
constexpr char kTokenAnswer[] = "token_answer";

json::array EncodeCalls(const ReplicaCalls& calls) {
  return {calls.m_calls, calls.m_unread_tokens};
}

json::object Encode(const EntryUpdate& update) {
  json::object object = {
      {"kind", kEntry},
      {"host", update.m_address.m_host},
      {"data_center", update.m_address.m_data_center},
      {"callers", ToString(update.m_address.m_callers)},
      {"peers", ToString(update.m_address.m_peers)},
      {"ready", update.m_ready},
      {"crashes", EncodeCrashes(update.m_crashes)},
      {"revision", update.m_operator_revision.m_number},
      {"era", update.m_operator_revision.m_era},
      {"config", update.m_config_version},
      {"proof_ms", ToMilliseconds(update.m_operator_confirmed_at)},
      {"replicas", std::to_string(update.m_replicas_hash)},
      {"age_ms", ToMilliseconds(update.m_replicas_age)}};
  if (update.m_era_age)
    object["era_age_ms"] = ToMilliseconds(*update.m_era_age);
  if (update.m_remote_entries)
    object["far_entries"] = *update.m_remote_entries;
  EncodeCrashReports(object, update.m_crash_reports);
  EncodeStatementList(object, update.m_statements);
  EncodeEvacuations(object, update.m_evacuations);
  EncodeDeclarations(object, update.m_declarations);
  return object;
}

json::object Encode(const DataCenterSummary& summary) {
  json::object object = EncodeSummary(summary);
  object["kind"] = kSummary;
  return object;
}

json::object Encode(const CallUpdate& update) {
  json::object object = {{"kind", kCalls},
                         {"replica", update.m_replica},
                         {"calls", EncodeCalls(update.m_calls)}};
  EncodeStatements(object, update.m_statements);
  return object;
}

json::object Encode(const ReplicaUpdate& update) {
  json::object object = {
      {"kind", kReplica},
      {"replica", update.m_replica},
      {"service", update.m_service},
      {"version", update.m_version},
      {"elsewhere", EncodeCalls(update.m_other_entries_calls)}};
  // These messages are sent thousands of times a second, and the fields below
  // rarely differ from their defaults, so defaults are left out.
  if (update.m_closing)
    object["closing"] = true;
  if (update.m_loading)
    object["loading"] = true;
  if (update.m_queued_calls > 0)
    object["waiting"] = update.m_queued_calls;
  if (update.m_pace_percent != kUsualPacePercent)
    object["pace"] = update.m_pace_percent;
  EncodeStatements(object, update.m_statements);
  if (update.m_rate_hold_off > Duration())
    object["hold_ms"] = ToMilliseconds(update.m_rate_hold_off);
  return object;
}

json::object Encode(const ChunkUpdate& update) {
  json::array chunks(update.m_chunks.begin(), update.m_chunks.end());
  return {{"kind", kChunks},
          {"host", update.m_host},
          {"model", update.m_model},
          {"version", update.m_version},
          {"chunks", std::move(chunks)}};
}

json::object Encode(const OriginFetchUpdate& update) {
  const decide::OriginFetchReport& report = update.m_report;
  json::object object = {{"kind", kOriginFetches},
                         {"host", report.m_host},
                         {"model", update.m_model},
                         {"version", update.m_version},
                         {"under_way", json::array(report.m_in_progress.begin(),
                                                   report.m_in_progress.end())},
                         {"drawn", json::array(report.m_origin_fetched.begin(),
                                               report.m_origin_fetched.end())}};
  if (report.m_origin == decide::OriginStatus::kProbed)
    object["probe"] = true;
  if (report.m_origin == decide::OriginStatus::kAnswers)
    object["answers"] = true;
  if (!update.m_given_up.empty())
    object["given_up"] =
        json::array(update.m_given_up.begin(), update.m_given_up.end());
  return object;
}

json::object Encode(const SubscriptionRequest& request) {
  json::object object = {{"kind", kFollow},
                         {"chunks", request.m_wants_chunks},
                         {"near", request.m_same_data_center},
                         {"revision", request.m_weights_revision.m_number},
                         {"era", request.m_weights_revision.m_era},
                         {"replicas", std::to_string(request.m_replicas_hash)},
                         {"fullness", request.m_used_slots_percent}};
  EncodeEvacuatedDataCenters(object, request.m_evacuated_data_centers);
  EncodeDeclarationAges(object, request.m_declared);
  return object;
}

json::object Encode(const SlotRequestMessage& request) {
  json::object object = {{"kind", kSlotRequest},
                         {"replica", request.m_replica},
                         {"ticket", request.m_ticket},
                         {"tokens", request.m_prompt_tokens},
                         {"fresh", request.m_can_be_on_time},
                         {"read_ms", ToMilliseconds(request.m_read_within)},
                         {"wait_ms", ToMilliseconds(request.m_max_wait)},
                         {"calls", EncodeCalls(request.m_calls)}};
  if (request.m_rank)
    object["rank"] = *request.m_rank;
  if (request.m_organisation)
    object["organisation"] = *request.m_organisation;
  if (request.m_run_time > Duration())
    object["run_ms"] = ToMilliseconds(request.m_run_time);
  EncodeStatements(object, request.m_statements);
  return object;
}

json::object Encode(const SlotAnswer& answer) {
  json::object object = Encode(answer.m_update);
  object["kind"] = kSlotAnswer;
  object["ticket"] = answer.m_ticket;
  object["granted"] = answer.m_granted;
  object["queued"] = answer.m_queued;
  if (answer.m_expected_wait)
    object["turn_ms"] = ToMilliseconds(*answer.m_expected_wait);
  return object;
}

json::object Encode(const SlotWithdrawal& withdrawal) {
  return {{"kind", kSlotWithdrawal},
          {"replica", withdrawal.m_replica},
          {"ticket", withdrawal.m_ticket}};
}

json::object Encode(const TokenRequest& request) {
  json::object object = EncodeTokenRequest(request);
  object["kind"] = kTokenRequest;
  return object;
}

json::object Encode(const TokenAnswer& answer) {
  json::object object = EncodeTokenAnswer(answer);
  object["kind"] = kTokenAnswer;
  return object;
}

/// Reads a number of milliseconds; zero if the field is absent.
Result<Duration> TimeField(const json::object& object, const char* name) {
  BOOST_LEAF_AUTO(milliseconds, model::NumberFieldOr(object, name, 0));
  return Duration(std::chrono::milliseconds(milliseconds));
}

Result<SubscriptionRequest> DecodeFollow(const json::object& object) {
  SubscriptionRequest request;
  BOOST_LEAF_ASSIGN(request.m_wants_chunks,
                    model::FlagFieldOr(object, "chunks", false));
  BOOST_LEAF_ASSIGN(request.m_same_data_center,
                    model::FlagFieldOr(object, "near", false));
  BOOST_LEAF_ASSIGN(request.m_weights_revision, DecodeRevision(object));
  BOOST_LEAF_AUTO(hash, model::TextFieldOr(object, "replicas", "0"));
  request.m_replicas_hash = std::strtoull(hash.c_str(), nullptr, 10);
  BOOST_LEAF_AUTO(fullness, model::NumberFieldOr(object, "fullness", 100));
  request.m_used_slots_percent = static_cast<uint32_t>(fullness);
  BOOST_LEAF_ASSIGN(request.m_evacuated_data_centers,
                    DecodeEvacuatedDataCenters(object));
  BOOST_LEAF_ASSIGN(request.m_declared, DecodeDeclarationAges(object));
  return request;
}

Result<ReplicaCalls> DecodeCalls(const json::object& object, const char* name) {
  const json::value* value = object.if_contains(name);
  const json::array* numbers = value ? value->if_array() : nullptr;
  if (!numbers || numbers->size() != 2 || !numbers->at(0).is_int64() ||
      !numbers->at(1).is_int64())
    return model::BadField(name, "a pair of whole numbers");
  return ReplicaCalls{static_cast<uint32_t>(numbers->at(0).as_int64()),
                      static_cast<uint64_t>(numbers->at(1).as_int64())};
}

Result<EntryUpdate> DecodeEntry(const json::object& object) {
  EntryUpdate update;
  BOOST_LEAF_ASSIGN(update.m_address.m_host, model::TextField(object, "host"));
  BOOST_LEAF_ASSIGN(update.m_address.m_data_center,
                    model::TextField(object, "data_center"));
  BOOST_LEAF_AUTO(callers, model::TextField(object, "callers"));
  BOOST_LEAF_ASSIGN(update.m_address.m_callers, ParseEndpoint(callers));
  BOOST_LEAF_AUTO(peers, model::TextField(object, "peers"));
  BOOST_LEAF_ASSIGN(update.m_address.m_peers, ParseEndpoint(peers));
  BOOST_LEAF_ASSIGN(update.m_ready, model::FlagFieldOr(object, "ready", false));
  BOOST_LEAF_ASSIGN(update.m_operator_revision, DecodeRevision(object));
  BOOST_LEAF_ASSIGN(update.m_config_version,
                    model::NumberFieldOr(object, "config", 0));
  if (object.contains("era_age_ms")) {
    BOOST_LEAF_ASSIGN(update.m_era_age, TimeField(object, "era_age_ms"));
  }
  BOOST_LEAF_AUTO(proof, model::NumberFieldOr(object, "proof_ms", 0));
  update.m_operator_confirmed_at = std::chrono::milliseconds(proof);
  BOOST_LEAF_AUTO(hash, model::TextFieldOr(object, "replicas", "0"));
  update.m_replicas_hash = std::strtoull(hash.c_str(), nullptr, 10);
  BOOST_LEAF_AUTO(age, model::NumberFieldOr(object, "age_ms", 0));
  update.m_replicas_age = std::chrono::milliseconds(age);
  BOOST_LEAF_ASSIGN(update.m_crashes, DecodeCrashes(object));
  BOOST_LEAF_ASSIGN(update.m_crash_reports, DecodeCrashReports(object));
  if (object.contains("far_entries")) {
    BOOST_LEAF_AUTO(remote_entries, model::NumberField(object, "far_entries"));
    update.m_remote_entries = static_cast<uint32_t>(remote_entries);
  }
  BOOST_LEAF_ASSIGN(update.m_statements, DecodeStatementList(object));
  BOOST_LEAF_ASSIGN(update.m_evacuations, DecodeEvacuations(object));
  BOOST_LEAF_ASSIGN(update.m_declarations, DecodeDeclarations(object));
  return update;
}

Result<CallUpdate> DecodeCallNews(const json::object& object) {
  CallUpdate update;
  BOOST_LEAF_ASSIGN(update.m_replica, model::TextField(object, "replica"));
  BOOST_LEAF_ASSIGN(update.m_calls, DecodeCalls(object, "calls"));
  BOOST_LEAF_ASSIGN(update.m_statements, DecodeStatements(object));
  return update;
}

Result<ReplicaUpdate> DecodeReplica(const json::object& object) {
  ReplicaUpdate update;
  BOOST_LEAF_ASSIGN(update.m_replica, model::TextField(object, "replica"));
  BOOST_LEAF_ASSIGN(update.m_service, model::TextField(object, "service"));
  BOOST_LEAF_ASSIGN(update.m_version, model::NumberField(object, "version"));
  BOOST_LEAF_ASSIGN(update.m_closing,
                    model::FlagFieldOr(object, "closing", false));
  BOOST_LEAF_ASSIGN(update.m_loading,
                    model::FlagFieldOr(object, "loading", false));
  BOOST_LEAF_ASSIGN(update.m_other_entries_calls,
                    DecodeCalls(object, "elsewhere"));
  BOOST_LEAF_AUTO(waiting, model::NumberFieldOr(object, "waiting", 0));
  update.m_queued_calls = static_cast<uint32_t>(waiting);
  BOOST_LEAF_AUTO(pace,
                  model::NumberFieldOr(object, "pace", kUsualPacePercent));
  update.m_pace_percent = static_cast<uint32_t>(
      std::clamp<uint64_t>(pace, kUsualPacePercent, kMaxPacePercent));
  BOOST_LEAF_ASSIGN(update.m_statements, DecodeStatements(object));
  BOOST_LEAF_ASSIGN(update.m_rate_hold_off, TimeField(object, "hold_ms"));
  return update;
}

Result<SlotRequestMessage> DecodeSlotRequest(const json::object& object) {
  SlotRequestMessage request;
  BOOST_LEAF_ASSIGN(request.m_replica, model::TextField(object, "replica"));
  BOOST_LEAF_ASSIGN(request.m_ticket, model::NumberField(object, "ticket"));
  BOOST_LEAF_AUTO(tokens, model::NumberField(object, "tokens"));
  request.m_prompt_tokens = static_cast<uint32_t>(tokens);
  BOOST_LEAF_ASSIGN(request.m_can_be_on_time,
                    model::FlagFieldOr(object, "fresh", true));
  BOOST_LEAF_ASSIGN(request.m_read_within, TimeField(object, "read_ms"));
  BOOST_LEAF_ASSIGN(request.m_max_wait, TimeField(object, "wait_ms"));
  BOOST_LEAF_ASSIGN(request.m_calls, DecodeCalls(object, "calls"));
  if (object.contains("rank")) {
    BOOST_LEAF_AUTO(rank, model::NumberField(object, "rank"));
    request.m_rank =
        static_cast<int>(std::min<uint64_t>(rank, model::kLeastUrgentRank));
  }
  if (object.contains("organisation")) {
    BOOST_LEAF_ASSIGN(request.m_organisation,
                      model::TextField(object, "organisation"));
  }
  BOOST_LEAF_ASSIGN(request.m_run_time, TimeField(object, "run_ms"));
  BOOST_LEAF_ASSIGN(request.m_statements, DecodeStatements(object));
  return request;
}

Result<SlotAnswer> DecodeAnswer(const json::object& object) {
  SlotAnswer answer;
  BOOST_LEAF_ASSIGN(answer.m_ticket, model::NumberField(object, "ticket"));
  BOOST_LEAF_ASSIGN(answer.m_granted,
                    model::FlagFieldOr(object, "granted", false));
  BOOST_LEAF_ASSIGN(answer.m_queued,
                    model::FlagFieldOr(object, "queued", false));
  if (object.contains("turn_ms")) {
    BOOST_LEAF_ASSIGN(answer.m_expected_wait, TimeField(object, "turn_ms"));
  }
  BOOST_LEAF_ASSIGN(answer.m_update, DecodeReplica(object));
  return answer;
}

Result<SlotWithdrawal> DecodeWithdrawal(const json::object& object) {
  SlotWithdrawal withdrawal;
  BOOST_LEAF_ASSIGN(withdrawal.m_replica, model::TextField(object, "replica"));
  BOOST_LEAF_ASSIGN(withdrawal.m_ticket, model::NumberField(object, "ticket"));
  return withdrawal;
}

Result<std::vector<uint32_t>> ChunksField(const json::object& object,
                                          const char* name) {
  const json::value* list = object.if_contains(name);
  if (!list || !list->is_array())
    return model::BadField(name, "a list");
  std::vector<uint32_t> chunks;
  for (const json::value& chunk : list->as_array()) {
    if (!chunk.is_int64() || chunk.as_int64() < 0 ||
        chunk.as_int64() > std::numeric_limits<uint32_t>::max())
      return model::BadField(name, "numbers of chunks");
    chunks.push_back(static_cast<uint32_t>(chunk.as_int64()));
  }
  return chunks;
}

Result<ChunkUpdate> DecodeChunks(const json::object& object) {
  ChunkUpdate update;
  BOOST_LEAF_ASSIGN(update.m_host, model::TextField(object, "host"));
  BOOST_LEAF_ASSIGN(update.m_model, model::TextField(object, "model"));
  BOOST_LEAF_ASSIGN(update.m_version, model::NumberField(object, "version"));
  BOOST_LEAF_ASSIGN(update.m_chunks, ChunksField(object, "chunks"));
  return update;
}

Result<std::vector<uint64_t>> VersionsField(const json::object& object,
                                            const char* name) {
  std::vector<uint64_t> versions;
  const json::value* list = object.if_contains(name);
  if (!list)
    return versions;
  if (!list->is_array())
    return model::BadField(name, "a list");
  for (const json::value& version : list->as_array()) {
    if (!version.is_int64() || version.as_int64() < 0)
      return model::BadField(name, "numbers of versions");
    versions.push_back(static_cast<uint64_t>(version.as_int64()));
  }
  return versions;
}

Result<decide::OriginStatus> OriginStatusFrom(const json::object& object) {
  BOOST_LEAF_AUTO(probed, model::FlagFieldOr(object, "probe", false));
  BOOST_LEAF_AUTO(answers, model::FlagFieldOr(object, "answers", false));
  if (answers)
    return decide::OriginStatus::kAnswers;
  return probed ? decide::OriginStatus::kProbed
                : decide::OriginStatus::kNotStated;
}

Result<OriginFetchUpdate> DecodeOriginFetches(const json::object& object) {
  OriginFetchUpdate update;
  BOOST_LEAF_ASSIGN(update.m_model, model::TextField(object, "model"));
  BOOST_LEAF_ASSIGN(update.m_version, model::NumberField(object, "version"));
  decide::OriginFetchReport& report = update.m_report;
  BOOST_LEAF_ASSIGN(report.m_host, model::TextField(object, "host"));
  BOOST_LEAF_ASSIGN(report.m_in_progress, ChunksField(object, "under_way"));
  BOOST_LEAF_ASSIGN(report.m_origin_fetched, ChunksField(object, "drawn"));
  BOOST_LEAF_ASSIGN(report.m_origin, OriginStatusFrom(object));
  BOOST_LEAF_ASSIGN(update.m_given_up, VersionsField(object, "given_up"));
  return update;
}

/// Converts the result of a decoder of one kind of message to Message.
template <typename T>
Result<Message> AsMessage(Result<T> decoded) {
  if (!decoded)
    return decoded.error();
  return Message(std::move(*decoded));
}

}  // namespace

std::string EncodeMessage(const Message& message) {
  return std::visit(
      [](const auto& value) { return json::serialize(Encode(value)); },
      message);
}

Result<Message> DecodeMessage(std::string_view text) {
  BOOST_LEAF_AUTO(object, model::ParseObject(text, "datagram"));
  BOOST_LEAF_AUTO(kind, model::TextField(object, "kind"));
  if (kind == kEntry)
    return AsMessage(DecodeEntry(object));
  if (kind == kCalls)
    return AsMessage(DecodeCallNews(object));
  if (kind == kReplica)
    return AsMessage(DecodeReplica(object));
  if (kind == kChunks)
    return AsMessage(DecodeChunks(object));
  if (kind == kOriginFetches)
    return AsMessage(DecodeOriginFetches(object));
  if (kind == kSlotRequest)
    return AsMessage(DecodeSlotRequest(object));
  if (kind == kSlotAnswer)
    return AsMessage(DecodeAnswer(object));
  if (kind == kSlotWithdrawal)
    return AsMessage(DecodeWithdrawal(object));
  if (kind == kFollow)
    return AsMessage(DecodeFollow(object));
  if (kind == kSummary)
    return AsMessage(DecodeSummary(object));
  if (kind == kTokenRequest)
    return AsMessage(DecodeTokenRequest(object));
  if (kind == kTokenAnswer)
    return AsMessage(DecodeTokenAnswer(object));
  return model::BadField("kind", "a kind of datagram that is known");
}

}  // namespace verbenalead::links
