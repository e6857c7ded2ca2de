#include "links/evacuation_codec.h"

#include "links/revision_codec.h"
#include "model/json_fields.h"

namespace verbenalead::links {
namespace {

namespace json = boost::json;

constexpr char kEvacuations[] = "evacuations";
constexpr char kEvacuated[] = "evacuated";

Result<EvacuationReport> DecodeReport(const json::object& object) {
  EvacuationReport report;
  BOOST_LEAF_ASSIGN(report.m_data_center,
                    model::TextField(object, "data_center"));
  BOOST_LEAF_ASSIGN(report.m_revision, DecodeRevision(object));
  BOOST_LEAF_ASSIGN(report.m_active,
                    model::FlagFieldOr(object, "active", false));
  return report;
}

}  // namespace

void EncodeEvacuations(json::object& object,
                       const std::vector<EvacuationReport>& reports) {
  if (reports.empty())
    return;
  json::array list;
  for (const EvacuationReport& report : reports) {
    json::object encoded = {{"data_center", report.m_data_center},
                            {"revision", report.m_revision.m_number},
                            {"era", report.m_revision.m_era}};
    if (report.m_active)
      encoded["active"] = true;
    list.push_back(std::move(encoded));
  }
  object[kEvacuations] = std::move(list);
}

Result<std::vector<EvacuationReport>> DecodeEvacuations(
    const json::object& object) {
  std::vector<EvacuationReport> reports;
  const json::value* list = object.if_contains(kEvacuations);
  if (!list)
    return reports;
  if (!list->is_array())
    return model::BadField(kEvacuations, "a list");
  for (const json::value& value : list->as_array()) {
    if (!value.is_object())
      return model::BadField(kEvacuations, "objects");
    BOOST_LEAF_AUTO(report, DecodeReport(value.as_object()));
    reports.push_back(std::move(report));
  }
  return reports;
}

void EncodeEvacuatedDataCenters(json::object& object,
                                const std::set<std::string>& data_centers) {
  if (!data_centers.empty())
    object[kEvacuated] = json::array(data_centers.begin(), data_centers.end());
}

Result<std::set<std::string>> DecodeEvacuatedDataCenters(
    const json::object& object) {
  std::set<std::string> data_centers;
  const json::value* list = object.if_contains(kEvacuated);
  if (!list)
    return data_centers;
  if (!list->is_array())
    return model::BadField(kEvacuated, "a list");
  for (const json::value& value : list->as_array()) {
    if (!value.is_string())
      return model::BadField(kEvacuated, "texts");
    data_centers.emplace(value.as_string());
  }
  return data_centers;
}

}  // namespace verbenalead::links
