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
#include "wire/headers.h"

namespace verbenalead::links {

/// Where an entry tells the rows of the operator's table, those of them that a
/// target process needs, and those of the table of replicas.
inline constexpr char kOperatorRowsPath[] = "/v1/operator-rows";
inline constexpr char kTargetRowsPath[] = "/v1/target-rows";
inline constexpr char kReplicaRowsPath[] = "/v1/replica-rows";

/// What an entry tells beside the rows, and what changes while they don't.
struct RelayFacts {
  /// The store's time of the answer that proves that the rows are the newest.
  Duration m_proof{};
  /// When it tells this, by its clock that counts suspension.
  Duration m_told_at{};
  /// How long ago that entry regained the store; nothing if it never lost it.
  std::optional<Duration> m_regained_ago;

  friend bool operator==(const RelayFacts&, const RelayFacts&) = default;
};

wire::Headers EncodeFacts(const RelayFacts& facts);
RelayFacts DecodeFacts(const wire::Headers& headers);

/// When rows may have been written at the earliest, by key, on the same clock.
using SeenTimes = std::map<std::string, Duration>;

/// All rows of a table as an entry has them, for others near it: a
/// configuration of 290 KB that each host read from the store for itself filled
/// the link between regions for two seconds.
struct RelayedRows {
  platform::Rows m_rows;
  /// How long ago rows were written, at most, by key; absent: not known.
  std::map<std::string, Duration> m_ages;
  std::optional<Duration> m_regained_ago;
};

std::string EncodeRows(const std::map<std::string, platform::Row>& rows,
                       uint64_t revision,
                       const SeenTimes& seen);
/// Reads what EncodeRows writes, told with `facts`. Fails with kInvalid.
Result<RelayedRows> DecodeRows(const std::string& text,
                               const RelayFacts& facts);

/// In a request for rows: who asks can ask others as well, and may be put off
/// while many ask.
inline constexpr char kMayBePutOff[] = "may-be-put-off";

/// Asks the entry at `endpoint` for the rows that it tells at `path`,
/// compressed as Deflate does. Fails with kRefused if it doesn't know them, or
/// puts off one that has said that this may be.
Awaitable<AsyncResult<RelayedRows>> FetchRows(wire::Client& http,
                                              Endpoint endpoint,
                                              std::string path,
                                              bool may_be_put_off = false);

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_RELAYED_ROWS_H_
