#include "standins/table/table_handler.h"

#include <boost/json.hpp>
#include <map>
#include <mutex>
#include <string>

namespace verbenalead::standins {
namespace {

namespace json = boost::json;

struct Table {
  using Key = std::pair<std::string, std::string>;
  std::mutex m_mutex;
  std::map<Key, json::object> m_items;
  uint64_t m_reads = 0;
  uint64_t m_writes = 0;
};

std::string TextOf(const json::value& attribute) {
  return std::string(attribute.at("S").as_string());
}

Table::Key KeyOf(const json::object& object) {
  return {TextOf(object.at("pk")), TextOf(object.at("sk"))};
}

wire::Response Reply(int status, const json::object& body) {
  wire::Response response{status, {}, json::serialize(body)};
  response.m_headers["content-type"] = "application/x-amz-json-1.0";
  return response;
}

wire::Response Error(const std::string& type) {
  return Reply(400, {{"__type", "com.amazonaws.dynamodb.v20120810#" + type},
                     {"message", type}});
}

wire::Response GetItem(Table& table, const json::object& body) {
  ++table.m_reads;
  auto found = table.m_items.find(KeyOf(body.at("Key").as_object()));
  if (found == table.m_items.end())
    return Reply(200, {});
  return Reply(200, {{"Item", found->second}});
}

wire::Response Query(Table& table, const json::object& body) {
  ++table.m_reads;
  const json::value& values = body.at("ExpressionAttributeValues");
  const std::string partition = TextOf(values.at(":pk"));
  const std::string after = TextOf(values.at(":sk"));
  const auto limit = static_cast<size_t>(body.at("Limit").as_int64());
  json::array items;
  for (auto at = table.m_items.upper_bound({partition, after});
       at != table.m_items.end() && at->first.first == partition &&
       items.size() < limit;
       ++at)
    items.push_back(at->second);
  return Reply(200, {{"Items", std::move(items)}});
}

bool Holds(const Table& table, const json::object& put) {
  const json::value* condition = put.if_contains("ConditionExpression");
  if (condition == nullptr)
    return true;
  auto found = table.m_items.find(KeyOf(put.at("Item").as_object()));
  const bool present = found != table.m_items.end();
  if (condition->as_string() == "attribute_not_exists(pk)")
    return !present;
  return present && found->second.at("rev") ==
                        put.at("ExpressionAttributeValues").at(":rev");
}

wire::Response Transact(Table& table, const json::object& body) {
  ++table.m_writes;
  const json::array& writes = body.at("TransactItems").as_array();
  for (const json::value& write : writes) {
    if (!Holds(table, write.at("Put").as_object()))
      return Error("TransactionCanceledException");
  }
  for (const json::value& write : writes) {
    const json::object& item = write.at("Put").at("Item").as_object();
    table.m_items[KeyOf(item)] = item;
  }
  return Reply(200, {});
}

wire::Response Respond(Table& table, const wire::Request& request) {
  std::lock_guard lock(table.m_mutex);
  if (request.m_path == "/stats")
    return Reply(200, {{"reads", table.m_reads}, {"writes", table.m_writes}});
  const std::string target = wire::Get(request.m_headers, "x-amz-target");
  try {
    const json::object body = json::parse(request.m_body).as_object();
    if (target == "DynamoDB_20120810.GetItem")
      return GetItem(table, body);
    if (target == "DynamoDB_20120810.Query")
      return Query(table, body);
    if (target == "DynamoDB_20120810.TransactWriteItems")
      return Transact(table, body);
  } catch (const std::exception&) {
    return Error("ValidationException");
  }
  return Error("UnknownOperationException");
}

Awaitable<void> Answer(std::shared_ptr<Table> table,
                       const wire::Request& request,
                       wire::ResponseWriter& writer) {
  co_await writer.Send(Respond(*table, request));
}

}  // namespace

wire::Handler MakeTableHandler() {
  auto table = std::make_shared<Table>();
  return [table](const wire::Request& request, wire::ResponseWriter& writer) {
    return Answer(table, request, writer);
  };
}

}  // namespace verbenalead::standins
