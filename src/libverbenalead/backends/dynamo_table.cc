#include "backends/dynamo_table.h"

#include <boost/json.hpp>

#include "base/catch_failure.h"
#include "model/json_fields.h"

namespace verbenalead::backends {
namespace {

namespace json = boost::json;

constexpr char kConflictError[] = "TransactionCanceledException";

json::object Text(const std::string& text) {
  return {{"S", text}};
}

json::object Number(uint64_t number) {
  return {{"N", std::to_string(number)}};
}

json::object KeyOf(const std::string& partition, const std::string& sort) {
  return {{"pk", Text(partition)}, {"sk", Text(sort)}};
}

/// Returns attribute `name` of `item`, which must have the DynamoDB type
/// `type`.
Result<std::string> Attribute(const json::object& item,
                              std::string_view name,
                              std::string_view type) {
  const json::value* value = item.if_contains(name);
  if (value == nullptr || !value->is_object())
    return model::BadField(name, "a typed attribute");
  return model::TextField(value->get_object(), type);
}

Result<TableItem> ReadItem(const json::object& object) {
  TableItem item;
  BOOST_LEAF_ASSIGN(item.m_partition, Attribute(object, "pk", "S"));
  BOOST_LEAF_ASSIGN(item.m_sort, Attribute(object, "sk", "S"));
  BOOST_LEAF_AUTO(revision, Attribute(object, "rev", "N"));
  item.m_revision = std::strtoull(revision.c_str(), nullptr, 10);
  BOOST_LEAF_ASSIGN(item.m_value, Attribute(object, "val", "S"));
  return item;
}

Result<std::optional<TableItem>> ReadGet(const std::string& body) {
  BOOST_LEAF_AUTO(object, model::ParseObject(body, "GetItem answer"));
  const json::value* item = object.if_contains("Item");
  if (item == nullptr || !item->is_object())
    return std::optional<TableItem>();
  BOOST_LEAF_AUTO(read, ReadItem(item->get_object()));
  return std::optional<TableItem>(std::move(read));
}

Result<std::vector<TableItem>> ReadQuery(const std::string& body) {
  BOOST_LEAF_AUTO(object, model::ParseObject(body, "Query answer"));
  const json::value* items = object.if_contains("Items");
  if (items == nullptr || !items->is_array())
    return model::BadField("Items", "a list");
  std::vector<TableItem> out;
  for (const json::value& item : items->get_array()) {
    if (!item.is_object())
      return model::BadField("Items", "a list of objects");
    BOOST_LEAF_AUTO(read, ReadItem(item.get_object()));
    out.push_back(std::move(read));
  }
  return out;
}

json::object PutOf(const TableWrite& write, const std::string& table) {
  json::object item = KeyOf(write.m_item.m_partition, write.m_item.m_sort);
  item["rev"] = Number(write.m_item.m_revision);
  item["val"] = Text(write.m_item.m_value);
  json::object put{{"TableName", table}, {"Item", std::move(item)}};
  if (write.m_condition == TableWrite::Condition::kAbsent) {
    put["ConditionExpression"] = "attribute_not_exists(pk)";
  } else if (write.m_condition == TableWrite::Condition::kRevisionIs) {
    put["ConditionExpression"] = "rev = :rev";
    put["ExpressionAttributeValues"] =
        json::object{{":rev", Number(write.m_expected_revision)}};
  }
  return json::object{{"Put", std::move(put)}};
}

/// Returns true for status 200 and a failure otherwise. A 5xx status becomes
/// kBroken, because the write may have taken effect.
AsyncResult<bool> CheckStatus(const wire::Response& response,
                              const char* operation,
                              const Endpoint& endpoint) {
  if (response.m_status == 200)
    return true;
  const FailureCode code =
      response.m_status >= 500 ? FailureCode::kBroken : FailureCode::kRefused;
  return Failure{code, std::string("table ") + operation, ToString(endpoint),
                 std::to_string(response.m_status) + " " + response.m_body};
}

wire::Request MakeCall(const char* operation, std::string body) {
  wire::Request request;
  request.m_method = "POST";
  request.m_headers["content-type"] = "application/x-amz-json-1.0";
  request.m_headers["x-amz-target"] =
      std::string("DynamoDB_20120810.") + operation;
  request.m_body = std::move(body);
  return request;
}

std::string TransactBody(const std::vector<TableWrite>& writes,
                         const std::string& table) {
  json::array items;
  for (const TableWrite& write : writes)
    items.push_back(PutOf(write, table));
  return json::serialize(json::object{{"TransactItems", std::move(items)}});
}

std::string GetBody(const std::string& table,
                    const std::string& partition,
                    const std::string& sort) {
  return json::serialize(json::object{{"TableName", table},
                                      {"ConsistentRead", true},
                                      {"Key", KeyOf(partition, sort)}});
}

std::string QueryBody(const std::string& table,
                      const std::string& partition,
                      const std::string& after_sort,
                      uint32_t limit) {
  json::object values{{":pk", Text(partition)}, {":sk", Text(after_sort)}};
  return json::serialize(
      json::object{{"TableName", table},
                   {"ConsistentRead", true},
                   {"KeyConditionExpression", "pk = :pk AND sk > :sk"},
                   {"ExpressionAttributeValues", std::move(values)},
                   {"Limit", limit}});
}

}  // namespace

Awaitable<AsyncResult<wire::Response>> DynamoTable::Call(const char* operation,
                                                         std::string body) {
  return wire::Fetch(m_client, m_endpoint, MakeCall(operation, std::move(body)),
                     Now() + m_timeout);
}

Awaitable<AsyncResult<std::optional<TableItem>>> DynamoTable::Get(
    std::string partition,
    std::string sort) {
  auto response =
      co_await Call("GetItem", GetBody(m_table_name, partition, sort));
  if (!response)
    co_return response.error();
  auto good = CheckStatus(*response, "GetItem", m_endpoint);
  if (!good)
    co_return good.error();
  co_return CatchFailure([&] { return ReadGet(response->m_body); });
}

Awaitable<AsyncResult<std::vector<TableItem>>> DynamoTable::Query(
    std::string partition,
    std::string after_sort,
    uint32_t limit) {
  auto response = co_await Call(
      "Query", QueryBody(m_table_name, partition, after_sort, limit));
  if (!response)
    co_return response.error();
  auto good = CheckStatus(*response, "Query", m_endpoint);
  if (!good)
    co_return good.error();
  co_return CatchFailure([&] { return ReadQuery(response->m_body); });
}

Awaitable<AsyncResult<TransactResult>> DynamoTable::Transact(
    std::vector<TableWrite> writes) {
  auto response =
      co_await Call("TransactWriteItems", TransactBody(writes, m_table_name));
  if (!response)
    co_return response.error();
  const bool conflict =
      response->m_status == 400 &&
      response->m_body.find(kConflictError) != std::string::npos;
  if (conflict)
    co_return TransactResult::kConflict;
  auto good = CheckStatus(*response, "TransactWriteItems", m_endpoint);
  if (!good)
    co_return good.error();
  co_return TransactResult::kCommitted;
}

}  // namespace verbenalead::backends
