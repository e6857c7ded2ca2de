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

/// Paths at which an entry serves the rows of the operator's table, the part of
/// these rows that a target process needs, and the rows of the table of
/// replicas.
inline constexpr char kOperatorRowsPath[] = "/v1/operator-rows";
inline constexpr char kTargetRowsPath[] = "/v1/target-rows";
inline constexpr char kReplicaRowsPath[] = "/v1/replica-rows";

/// What an entry sends beside the rows. It is kept apart from the encoded rows,
/// since it changes while they stay the same and can be reused.
struct RelayMetadata {
  /// The store's time at which the store confirmed that the rows are the
  /// newest.
  Duration m_confirmed_at{};
  /// When the entry sent this, by its boot clock, which also counts the time
  /// for which the host was suspended.
  Duration m_sent_at{};
  /// Time since the entry's connection to the store was restored, or the store
  /// came back from a copy; absent if neither happened.
  std::optional<Duration> m_store_regained_ago;
  /// Upper bound of the time from m_confirmed_at to m_sent_at; absent if the
  /// entry doesn't know the store's clock.
  std::optional<Duration> m_proof_age;

  friend bool operator==(const RelayMetadata&, const RelayMetadata&) = default;
};

wire::Headers EncodeRelayMetadata(const RelayMetadata& facts);
RelayMetadata DecodeRelayMetadata(const wire::Headers& headers);

/// Earliest times at which rows may have been written, by key, on the same
/// clock as RelayMetadata::m_sent_at.
using EarliestWriteTimes = std::map<std::string, Duration>;

/// All rows of a table as an entry has them, for other processes of its data
/// centre. When each host read the table from the store itself, a configuration
/// of 290 KB filled the link between regions for two seconds.
struct RelayedRows {
  platform::Rows m_rows;
  /// Upper bounds of the ages of rows, by key; absent if unknown.
  std::map<std::string, Duration> m_max_ages;
  std::optional<Duration> m_store_regained_ago;
  /// Upper bound of the time since the proof when the answer was sent; absent
  /// if unknown.
  std::optional<Duration> m_proof_age;
};

std::string EncodeRows(const std::map<std::string, platform::Row>& rows,
                       model::Revision revision,
                       const EarliestWriteTimes& seen);
/// Decodes the output of EncodeRows that was received together with `facts`.
/// Fails with kInvalid.
Result<RelayedRows> DecodeRows(const std::string& text,
                               const RelayMetadata& facts);

/// Header field of a request for rows: the requester can retry later or use
/// another entry, so the server may refuse the request while it serves many
/// others.
inline constexpr char kMayBeDeferred[] = "may-be-put-off";

/// Fetches the rows that the entry at `endpoint` serves at `path`, compressed
/// with Deflate. Fails with kRefused if the entry doesn't have the rows, or if
/// `may_be_deferred` is set and the entry is busy serving others.
Awaitable<AsyncResult<RelayedRows>> FetchRows(wire::Client& http,
                                              Endpoint endpoint,
                                              std::string path,
                                              bool may_be_deferred = false);

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_RELAYED_ROWS_H_
