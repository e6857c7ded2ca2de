#ifndef VERBENALEAD_HTTP_TLS_KEEPER_H_
#define VERBENALEAD_HTTP_TLS_KEEPER_H_

#include <memory>
#include <mutex>

#include "base/failure.h"
#include "http/tls_files.h"

namespace boost::asio::ssl {
class context;
}

namespace verbenalead::http {

/// The certificate that a server shows, read anew without a restart. May be
/// used from several threads.
class TlsKeeper {
 public:
  using Context = std::shared_ptr<boost::asio::ssl::context>;

  explicit TlsKeeper(TlsFiles files) : m_files(std::move(files)) {}

  /// Reads the files. On failure the earlier certificate stays in use: a half
  /// written file must not lock all callers out.
  AsyncResult<bool> Load();
  /// What new connections use; null before the first Load().
  Context current() const;

 private:
  const TlsFiles m_files;
  mutable std::mutex m_mutex;
  Context m_context;
};

}  // namespace verbenalead::http

#endif  // VERBENALEAD_HTTP_TLS_KEEPER_H_
