#ifndef VERBENALEAD_PLATFORM_STORE_H_
#define VERBENALEAD_PLATFORM_STORE_H_

#include <optional>
#include <string>
#include <vector>

#include "base/awaitable.h"
#include "base/endpoint.h"
#include "base/failure.h"
#include "base/metrics.h"
#include "platform/rows.h"
#include "platform/store_pages.h"
#include "wire/client.h"

namespace verbenalead::platform {

/// Client of the platform's store. Each request has a timeout of its own, since
/// an open connection may stay silent forever. Requests are never retried here,
/// because only the caller knows how urgent the answer is.
///
/// Counts in `metrics`, by table: pages read (`store_pages_total`), reads
/// that failed (`store_reads_failed_total`), and rows that were left out
/// (`store_rows_left_out_total`).
///
/// Failures: kRefused means that the store rejected the request and did
/// nothing; kNotFound from ReadChanges means that the store doesn't have the
/// history of changes; kInvalid and kCorrupt mean that the same read would fail
/// again. After any other failure, a write may or may not have
/// taken effect.
class Store {
 public:
  Store(wire::Client& http, Endpoint endpoint, Metrics& metrics)
      : m_http(http), m_endpoint(std::move(endpoint)), m_metrics(metrics) {}

  const Endpoint& endpoint() const { return m_endpoint; }

  /// Reads all rows of `part` of `table`, page by page; most tables have only
  /// the unnamed part. Fails with kBroken if the store came back from a copy
  /// between two pages, and with kCorrupt if the pages don't end.
  Awaitable<AsyncResult<Rows>> ReadTable(std::string table,
                                         std::string part = "");
  /// Returns all parts of `table` that hold rows.
  Awaitable<AsyncResult<std::vector<std::string>>> ListParts(std::string table);
  /// Reads the changes of `table` after `revision`; the store waits up to
  /// `wait` for a change.
  Awaitable<AsyncResult<Rows>> ReadChanges(std::string table,
                                           model::Revision revision,
                                           Duration wait);
  /// Writes one row unconditionally.
  Awaitable<AsyncResult<bool>> Write(std::string table,
                                     std::string part,
                                     std::string key,
                                     std::string value);

 private:
  /// Reads one page of `table` at `target`.
  Awaitable<AsyncResult<RowsPage>> Read(std::string table,
                                        std::string target,
                                        Duration wait);
  Awaitable<AsyncResult<PartsPage>> ReadPartsPage(std::string target);
  Awaitable<AsyncResult<bool>> Transact(std::string body);
  void CountFailure(const std::string& table);
  /// Logs, at a bounded rate, that rows with these keys were left out.
  void LogLeftOut(const std::string& table,
                  const std::vector<std::string>& keys);

  wire::Client& m_http;
  const Endpoint m_endpoint;
  Metrics& m_metrics;
  TimePoint m_next_left_out_line{};
};

}  // namespace verbenalead::platform

#endif  // VERBENALEAD_PLATFORM_STORE_H_
