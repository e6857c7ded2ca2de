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
#include "wire/client.h"

namespace verbenalead::platform {

/// Client of the platform's store. Each request has a timeout of its own, since
/// an open connection may stay silent forever. Requests are never retried here,
/// because only the caller knows how urgent the answer is.
///
/// Counts in `metrics`, by table: pages read (`store_pages_total`) and reads
/// that failed (`store_reads_failed_total`).
///
/// Failures: kRefused means that the store rejected the request and did
/// nothing; kNotFound from ReadChanges means that the store doesn't have the
/// history of changes. After any other failure, a write may or may not have
/// taken effect.
class Store {
 public:
  Store(wire::Client& http, Endpoint endpoint, Metrics& metrics)
      : m_http(http), m_endpoint(std::move(endpoint)), m_metrics(metrics) {}

  const Endpoint& endpoint() const { return m_endpoint; }

  /// Reads all rows of `part` of `table`, page by page; most tables have only
  /// the unnamed part. Fails with kBroken if the store came back from a copy
  /// between two pages.
  Awaitable<AsyncResult<Rows>> ReadTable(std::string table,
                                         std::string part = "");
  /// Returns the first thousand parts of `table` that hold rows.
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
  /// Reads one page of `table`; `has_more` is set if the table has further
  /// rows.
  Awaitable<AsyncResult<Rows>> Read(std::string table,
                                    std::string path,
                                    Duration wait,
                                    bool* has_more);
  Awaitable<AsyncResult<bool>> Transact(std::string body);

  wire::Client& m_http;
  const Endpoint m_endpoint;
  Metrics& m_metrics;
};

}  // namespace verbenalead::platform

#endif  // VERBENALEAD_PLATFORM_STORE_H_
