#ifndef VERBENALEAD_PLATFORM_STORE_H_
#define VERBENALEAD_PLATFORM_STORE_H_

#include <optional>
#include <string>
#include <vector>

#include "base/awaitable.h"
#include "base/endpoint.h"
#include "base/failure.h"
#include "platform/rows.h"
#include "wire/client.h"

namespace verbenalead::platform {

/// The client of the platform's store. Each call is one request and has a
/// timeout of its own, since an open connection may be silent for good. Calls
/// are never repeated here: whoever asks knows how urgent the answer is.
///
/// Failures: kRefused means that nothing was done (the store turned the call
/// away); kNotFound from ReadChanges means that the history is gone; all others
/// leave a write's effect open.
class Store {
 public:
  Store(wire::Client& http, Endpoint endpoint)
      : m_http(http), m_endpoint(std::move(endpoint)) {}

  const Endpoint& endpoint() const { return m_endpoint; }

  /// All rows of `part` of `table`; most tables have only the unnamed part.
  Awaitable<AsyncResult<Rows>> ReadTable(std::string table,
                                         std::string part = "");
  /// The parts of `table` that hold rows, the first thousand.
  Awaitable<AsyncResult<std::vector<std::string>>> ListParts(std::string table);
  /// What changed in `table` after `revision`; waits up to `wait` for a change.
  Awaitable<AsyncResult<Rows>> ReadChanges(std::string table,
                                           uint64_t revision,
                                           Duration wait);
  /// Writes one row whatever stands there.
  Awaitable<AsyncResult<bool>> Write(std::string table,
                                     std::string part,
                                     std::string key,
                                     std::string value);
  /// Removes a row that still has `revision`.
  Awaitable<AsyncResult<bool>> Remove(std::string table,
                                      std::string key,
                                      uint64_t revision);

 private:
  /// One answer; `has_more` tells that a table didn't fit into it.
  Awaitable<AsyncResult<Rows>> Read(std::string path,
                                    Duration wait,
                                    bool* has_more);
  Awaitable<AsyncResult<bool>> Transact(std::string body);

  wire::Client& m_http;
  const Endpoint m_endpoint;
};

}  // namespace verbenalead::platform

#endif  // VERBENALEAD_PLATFORM_STORE_H_
