#include "links/statement_codec.h"

#include <boost/json.hpp>

#include "links/cold_codec.h"
#include "links/rate_limit_codec.h"
#include "model/json_fields.h"

namespace verbenalead::links {
namespace {

namespace json = boost::json;

constexpr char kHolder[] = "holder";
constexpr char kLeaving[] = "leaving";
constexpr char kReplica[] = "replica";
constexpr char kStatements[] = "statements";

}  // namespace

void EncodeStatements(json::object& object, const StatementReport& report) {
  EncodeRateLimit(object, report.m_rate_limit);
  EncodeCold(object, report.m_cold);
  EncodeStart(object, report.m_started_ms);
  if (report.m_leaving)
    object[kLeaving] = *report.m_leaving;
}

Result<StatementReport> DecodeStatements(const json::object& object) {
  StatementReport report;
  BOOST_LEAF_ASSIGN(report.m_rate_limit, DecodeRateLimit(object));
  BOOST_LEAF_ASSIGN(report.m_cold, DecodeCold(object));
  BOOST_LEAF_ASSIGN(report.m_started_ms, DecodeStart(object));
  if (object.contains(kLeaving)) {
    BOOST_LEAF_AUTO(leaving, model::NumberField(object, kLeaving));
    report.m_leaving = leaving;
  }
  return report;
}

void EncodeStatementList(json::object& object,
                         const std::vector<ReplicaStatementReport>& reports) {
  if (reports.empty())
    return;
  json::array list;
  for (const ReplicaStatementReport& report : reports) {
    json::object item = {{kReplica, report.m_replica}};
    EncodeStatements(item, report.m_report);
    if (!report.m_holder.empty())
      item[kHolder] = report.m_holder;
    list.push_back(std::move(item));
  }
  object[kStatements] = std::move(list);
}

Result<std::vector<ReplicaStatementReport>> DecodeStatementList(
    const json::object& object) {
  std::vector<ReplicaStatementReport> reports;
  const json::value* value = object.if_contains(kStatements);
  if (!value)
    return reports;
  if (!value->is_array())
    return model::BadField(kStatements, "a list");
  for (const json::value& item : value->as_array()) {
    if (!item.is_object())
      return model::BadField(kStatements, "objects");
    ReplicaStatementReport report;
    BOOST_LEAF_ASSIGN(report.m_replica,
                      model::TextField(item.as_object(), kReplica));
    BOOST_LEAF_ASSIGN(report.m_report, DecodeStatements(item.as_object()));
    BOOST_LEAF_ASSIGN(report.m_holder,
                      model::TextFieldOr(item.as_object(), kHolder, ""));
    reports.push_back(std::move(report));
  }
  return reports;
}

}  // namespace verbenalead::links
