#include "standins/platform_store/row_store.h"

#include <algorithm>
#include <boost/json.hpp>
#include <set>

namespace verbenalead::standins {
namespace {

namespace json = boost::json;

/// How far back a copy may reach.
constexpr Duration kMaxCopyAge = std::chrono::minutes(1);
/// Tables whose writers write lost rows again.
constexpr const char* kWrittenAgain[] = {"op", "servers"};

std::string Text(const json::object& object, const char* name) {
  const json::value* value = object.if_contains(name);
  return value && value->is_string() ? std::string(value->as_string()) : "";
}

const json::array& List(const json::object& object, const char* name) {
  static const json::array kNone;
  const json::value* value = object.if_contains(name);
  return value && value->is_array() ? value->as_array() : kNone;
}

}  // namespace

RowStore::Key RowStore::KeyOf(const json::object& row) {
  return {Text(row, "table"), Text(row, "part"), Text(row, "key")};
}

bool RowStore::Holds(const json::object& transaction) const {
  for (const json::value& value : List(transaction, "precondition")) {
    const json::object& expected = value.as_object();
    const auto found = m_rows.find(KeyOf(expected));
    const uint64_t revision = found == m_rows.end() || found->second.m_deleted
                                  ? 0
                                  : found->second.m_revision;
    if (revision != expected.at("ver").to_number<uint64_t>())
      return false;
  }
  return true;
}

bool RowStore::Apply(const json::object& transaction) {
  if (!Holds(transaction))
    return false;
  const uint64_t before = m_revision++;
  for (const json::value& value : List(transaction, "writes")) {
    const json::object& row = value.as_object();
    SetRow(KeyOf(row), {Text(row, "value"), m_revision, false}, before);
  }
  for (const json::value& value : List(transaction, "remove")) {
    const json::object& row = value.as_object();
    SetRow(KeyOf(row), {"", m_revision, true}, before);
  }
  return true;
}

void RowStore::SetRow(const Key& key, Row row, uint64_t revision_before) {
  const TimePoint now = Now();
  const auto found = m_rows.find(key);
  m_changes.push_back({now, revision_before, key,
                       found == m_rows.end() ? std::optional<Row>()
                                             : std::optional(found->second)});
  m_rows[key] = std::move(row);
  while (now - m_changes.front().m_at > kMaxCopyAge)
    m_changes.pop_front();
}

RowStore::LostWrites RowStore::ReturnFromCopy(Duration age) {
  LostWrites lost;
  const TimePoint copied_at = Now() - age;
  while (!m_changes.empty() && m_changes.back().m_at > copied_at) {
    const Change& change = m_changes.back();
    lost.m_rows.emplace(change.m_key, m_rows[change.m_key]);
    if (change.m_before)
      m_rows[change.m_key] = *change.m_before;
    else
      m_rows.erase(change.m_key);
    m_revision = change.m_revision_before;
    m_changes.pop_back();
  }
  ++m_era;
  m_history_start = std::min(m_history_start, m_revision);
  lost.m_copy_revision = m_revision;
  return lost;
}

uint64_t RowStore::WriteAgain(const LostWrites& lost) {
  uint64_t count = 0;
  for (const auto& [key, row] : lost.m_rows) {
    const bool owned =
        std::find(std::begin(kWrittenAgain), std::end(kWrittenAgain),
                  std::get<0>(key)) != std::end(kWrittenAgain);
    const auto found = m_rows.find(key);
    const bool written_since = found != m_rows.end() &&
                               found->second.m_revision > lost.m_copy_revision;
    if (!owned || written_since)
      continue;
    const uint64_t before = m_revision++;
    SetRow(key, {row.m_value, m_revision, row.m_deleted}, before);
    ++count;
  }
  return count;
}

json::object RowStore::Answer(json::array rows, bool has_more) const {
  return {{"rows", std::move(rows)},
          {"has_more", has_more},
          {"ver", m_revision},
          {"now_ms", ToMilliseconds(Now().time_since_epoch() + m_clock_shift)}};
}

json::object RowStore::Read(const std::string& table,
                            const std::string& part,
                            const Range& range) const {
  json::array rows;
  for (auto row = m_rows.lower_bound({table, part, range.m_from});
       row != m_rows.end(); ++row) {
    const auto& [row_table, row_part, row_key] = row->first;
    if (row_table != table || row_part != part ||
        (!range.m_to.empty() && row_key >= range.m_to))
      break;
    if (row->second.m_deleted)
      continue;
    if (rows.size() == range.m_limit)
      return Answer(std::move(rows), true);
    rows.push_back(json::object{{"table", table},
                                {"part", part},
                                {"key", row_key},
                                {"value", row->second.m_value},
                                {"ver", row->second.m_revision}});
  }
  return Answer(std::move(rows), false);
}

json::object RowStore::Parts(const std::string& table,
                             const std::string& after,
                             size_t limit) const {
  std::set<std::string> parts;
  for (const auto& [key, row] : m_rows) {
    const std::string& part = std::get<1>(key);
    if (std::get<0>(key) == table && !row.m_deleted &&
        (after.empty() || part > after))
      parts.insert(part);
  }
  const bool has_more = parts.size() > limit;
  while (parts.size() > limit)
    parts.erase(std::prev(parts.end()));
  json::object answer = Answer({}, has_more);
  answer["parts"] = json::array(parts.begin(), parts.end());
  return answer;
}

bool RowStore::HasChanges(const std::string& table, uint64_t revision) const {
  for (const auto& [key, row] : m_rows) {
    if (std::get<0>(key) == table && row.m_revision > revision)
      return true;
  }
  return false;
}

std::optional<json::object> RowStore::Changes(const std::string& table,
                                              uint64_t revision) const {
  if (revision < m_history_start || revision > m_revision)
    return std::nullopt;
  std::map<uint64_t, json::array> changes;
  for (const auto& [key, row] : m_rows) {
    const auto& [row_table, row_part, row_key] = key;
    if (row_table != table || row.m_revision <= revision)
      continue;
    json::object change = {{"table", table},
                           {"part", row_part},
                           {"key", row_key},
                           {"ver", row.m_revision}};
    if (row.m_deleted)
      change["deleted"] = true;
    else
      change["value"] = row.m_value;
    changes[row.m_revision].push_back(std::move(change));
  }
  json::array rows;
  for (auto& [when, group] : changes) {
    for (json::value& change : group)
      rows.push_back(std::move(change));
  }
  return Answer(std::move(rows), false);
}

}  // namespace verbenalead::standins
