#ifndef VERBENALEAD_HTTP_RELOADABLE_TLS_CONTEXT_H_
#define VERBENALEAD_HTTP_RELOADABLE_TLS_CONTEXT_H_

#include <memory>
#include <mutex>

#include "base/failure.h"
#include "http/tls_files.h"

namespace boost::asio::ssl {
class context;
}

namespace verbenalead::http {

/// Holds the certificate that a server presents, which can be reloaded without
/// a restart. Thread-safe.
class ReloadableTlsContext {
 public:
  using Context = std::shared_ptr<boost::asio::ssl::context>;

  explicit ReloadableTlsContext(TlsFiles files) : m_files(std::move(files)) {}

  /// Reads the files. On failure the previous certificate stays in use, so that
  /// a partly written file doesn't lock out all callers.
  AsyncResult<bool> Load();
  /// Returns the TLS context for new connections; null before the first
  /// successful Load().
  Context current() const;

 private:
  const TlsFiles m_files;
  mutable std::mutex m_mutex;
  Context m_context;
};

}  // namespace verbenalead::http

#endif  // VERBENALEAD_HTTP_RELOADABLE_TLS_CONTEXT_H_
