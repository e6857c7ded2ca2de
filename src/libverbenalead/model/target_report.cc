#include "model/target_report.h"

#include <boost/json.hpp>

#include "model/json_fields.h"

namespace verbenalead::model {

namespace json = boost::json;

std::string ToJson(const TargetReport& report) {
  return json::serialize(json::object{{"name", report.m_name},
                                      {"pool", report.m_pool},
                                      {"peer", ToString(report.m_peer)},
                                      {"incarnation", report.m_incarnation},
                                      {"capacity", report.m_capacity},
                                      {"running", report.m_running},
                                      {"open", report.m_open},
                                      {"leaving", report.m_leaving},
                                      {"digest", ToString(report.m_digest)},
                                      {"version", report.m_version},
                                      {"revision", report.m_revision},
                                      {"stage", report.m_stage},
                                      {"reason", report.m_reason},
                                      {"loading", report.m_loading_version},
                                      {"chunks_held", report.m_chunks_held},
                                      {"chunks_total", report.m_chunks_total},
                                      {"origin_bytes", report.m_origin_bytes},
                                      {"peer_bytes", report.m_peer_bytes}});
}

namespace {

Result<uint32_t> Uint32FieldOrZero(const json::object& object,
                                   const char* name) {
  BOOST_LEAF_AUTO(number, NumberFieldOr(object, name, 0));
  return static_cast<uint32_t>(number);
}

Result<void> ReadProgress(const json::object& object, TargetReport& report) {
  BOOST_LEAF_ASSIGN(report.m_stage, TextFieldOr(object, "stage", ""));
  BOOST_LEAF_ASSIGN(report.m_reason, TextFieldOr(object, "reason", ""));
  BOOST_LEAF_ASSIGN(report.m_loading_version,
                    TextFieldOr(object, "loading", ""));
  BOOST_LEAF_ASSIGN(report.m_chunks_held,
                    Uint32FieldOrZero(object, "chunks_held"));
  BOOST_LEAF_ASSIGN(report.m_chunks_total,
                    Uint32FieldOrZero(object, "chunks_total"));
  BOOST_LEAF_ASSIGN(report.m_origin_bytes,
                    NumberFieldOr(object, "origin_bytes", 0));
  BOOST_LEAF_ASSIGN(report.m_peer_bytes,
                    NumberFieldOr(object, "peer_bytes", 0));
  return {};
}

}  // namespace

Result<TargetReport> ParseTargetReport(std::string_view text) {
  BOOST_LEAF_AUTO(object, ParseObject(text, "target report"));
  TargetReport report;
  BOOST_LEAF_ASSIGN(report.m_name, TextField(object, "name"));
  BOOST_LEAF_ASSIGN(report.m_pool, TextField(object, "pool"));
  BOOST_LEAF_AUTO(peer, TextField(object, "peer"));
  BOOST_LEAF_ASSIGN(report.m_peer, ParseEndpoint(peer));
  BOOST_LEAF_ASSIGN(report.m_incarnation, NumberField(object, "incarnation"));
  BOOST_LEAF_ASSIGN(report.m_capacity, Uint32FieldOrZero(object, "capacity"));
  BOOST_LEAF_ASSIGN(report.m_running, Uint32FieldOrZero(object, "running"));
  BOOST_LEAF_ASSIGN(report.m_open, FlagFieldOr(object, "open", false));
  BOOST_LEAF_ASSIGN(report.m_leaving, FlagFieldOr(object, "leaving", false));
  BOOST_LEAF_AUTO(digest, TextField(object, "digest"));
  BOOST_LEAF_ASSIGN(report.m_digest, ParseDigest(digest));
  BOOST_LEAF_ASSIGN(report.m_version, TextFieldOr(object, "version", ""));
  BOOST_LEAF_ASSIGN(report.m_revision, NumberFieldOr(object, "revision", 0));
  BOOST_LEAF_CHECK(ReadProgress(object, report));
  return report;
}

}  // namespace verbenalead::model
