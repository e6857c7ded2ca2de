#ifndef VERBENALEAD_BACKENDS_DYNAMO_TABLE_H_
#define VERBENALEAD_BACKENDS_DYNAMO_TABLE_H_

#include "backends/table.h"
#include "wire/client.h"

namespace verbenalead::backends {

/// Client of the platform's transactional table over the DynamoDB JSON protocol
/// (version 20120810). Uses GetItem, Query and TransactWriteItems on one table
/// with the keys `pk` and `sk`.
class DynamoTable : public Table {
 public:
  DynamoTable(wire::Client& client,
              Endpoint endpoint,
              std::string table_name,
              Duration timeout)
      : m_client(client),
        m_endpoint(std::move(endpoint)),
        m_table_name(std::move(table_name)),
        m_timeout(timeout) {}

  Awaitable<AsyncResult<std::optional<TableItem>>> Get(
      std::string partition,
      std::string sort) override;
  Awaitable<AsyncResult<std::vector<TableItem>>> Query(std::string partition,
                                                       std::string after_sort,
                                                       uint32_t limit) override;
  Awaitable<AsyncResult<TransactResult>> Transact(
      std::vector<TableWrite> writes) override;

 private:
  Awaitable<AsyncResult<wire::Response>> Call(const char* operation,
                                              std::string body);

  wire::Client& m_client;
  const Endpoint m_endpoint;
  const std::string m_table_name;
  const Duration m_timeout;
};

}  // namespace verbenalead::backends

#endif  // VERBENALEAD_BACKENDS_DYNAMO_TABLE_H_
