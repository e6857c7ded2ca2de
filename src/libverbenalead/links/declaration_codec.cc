#include "links/declaration_codec.h"

#include "model/json_fields.h"

namespace verbenalead::links {
namespace {

namespace json = boost::json;

constexpr char kDeclarations[] = "declarations";
constexpr char kDeclarationAges[] = "declared";

Result<DeclarationReport> DecodeReport(const json::object& object) {
  DeclarationReport report;
  BOOST_LEAF_ASSIGN(report.m_model, model::TextField(object, "model"));
  BOOST_LEAF_ASSIGN(report.m_version, model::NumberField(object, "version"));
  BOOST_LEAF_ASSIGN(report.m_declared_at.m_era,
                    model::NumberFieldOr(object, "era", 0));
  BOOST_LEAF_AUTO(declared_at, model::NumberField(object, "at_ms"));
  report.m_declared_at.m_time = std::chrono::milliseconds(declared_at);
  return report;
}

Result<DeclarationAge> DecodeAge(const json::object& object) {
  DeclarationAge age;
  BOOST_LEAF_ASSIGN(age.m_version, model::NumberField(object, "version"));
  BOOST_LEAF_AUTO(max_age, model::NumberField(object, "age_ms"));
  age.m_max_age = std::chrono::milliseconds(max_age);
  return age;
}

/// Decodes the list `name` of `object`, each item by `decode`; an absent list
/// is empty.
template <typename Item>
Result<std::vector<Item>> DecodeList(
    const json::object& object,
    const char* name,
    Result<Item> (*decode)(const json::object& object)) {
  std::vector<Item> items;
  const json::value* list = object.if_contains(name);
  if (!list)
    return items;
  if (!list->is_array())
    return model::BadField(name, "a list");
  for (const json::value& value : list->as_array()) {
    if (!value.is_object())
      return model::BadField(name, "objects");
    BOOST_LEAF_AUTO(item, decode(value.as_object()));
    items.push_back(std::move(item));
  }
  return items;
}

}  // namespace

void EncodeDeclarations(json::object& object,
                        const std::vector<DeclarationReport>& reports) {
  if (reports.empty())
    return;
  json::array list;
  for (const DeclarationReport& report : reports) {
    list.push_back(
        json::object{{"model", report.m_model},
                     {"version", report.m_version},
                     {"era", report.m_declared_at.m_era},
                     {"at_ms", ToMilliseconds(report.m_declared_at.m_time)}});
  }
  object[kDeclarations] = std::move(list);
}

Result<std::vector<DeclarationReport>> DecodeDeclarations(
    const json::object& object) {
  return DecodeList<DeclarationReport>(object, kDeclarations, DecodeReport);
}

void EncodeDeclarationAges(json::object& object,
                           const std::vector<DeclarationAge>& ages) {
  if (ages.empty())
    return;
  json::array list;
  for (const DeclarationAge& age : ages) {
    list.push_back(json::object{{"version", age.m_version},
                                {"age_ms", ToMilliseconds(age.m_max_age)}});
  }
  object[kDeclarationAges] = std::move(list);
}

Result<std::vector<DeclarationAge>> DecodeDeclarationAges(
    const json::object& object) {
  return DecodeList<DeclarationAge>(object, kDeclarationAges, DecodeAge);
}

std::string EncodeDeclarationRow(
    const std::vector<DeclarationReport>& reports) {
  json::object object;
  EncodeDeclarations(object, reports);
  return json::serialize(object);
}

Result<std::vector<DeclarationReport>> DecodeDeclarationRow(
    std::string_view text) {
  BOOST_LEAF_AUTO(object, model::ParseObject(text, "declarations"));
  return DecodeDeclarations(object);
}

}  // namespace verbenalead::links
