#ifndef VERBENALEAD_LINKS_RELAYED_ROWS_H_
#define VERBENALEAD_LINKS_RELAYED_ROWS_H_

#include <map>
#include <optional>
#include <string>

#include "base/awaitable.h"
#include "base/endpoint.h"
#include "base/failure.h"
#include "platform/rows.h"
#include "wire/client.h"

namespace verbenalead::links {

/// Where an entry tells the rows of the operator's table, and those of the
/// table of replicas.
inline constexpr char kOperatorRowsPath[] = "/v1/operator-rows";
inline constexpr char kReplicaRowsPath[] = "/v1/replica-rows";

/// All rows of a table as an entry has them, for others near it: a
/// configuration of 290 KB that each host read from the store for itself filled
/// the link between regions for two seconds.
struct RelayedRows {
  /// With the revision and the store's time of the answer that they come from.
  platform::Rows m_rows;
  /// How long ago that entry regained the store; nothing if it never lost it.
  std::optional<Duration> m_regained_ago;
};

std::string EncodeRows(const std::map<std::string, platform::Row>& rows,
                       uint64_t revision,
                       Duration store_time,
                       std::optional<Duration> regained_ago);
/// Reads what EncodeRows writes. Fails with kInvalid.
Result<RelayedRows> DecodeRows(const std::string& text);

/// Asks the entry at `endpoint` for the rows that it tells at `path`.
Awaitable<AsyncResult<RelayedRows>> FetchRows(wire::Client& http,
                                              Endpoint endpoint,
                                              std::string path);

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_RELAYED_ROWS_H_
