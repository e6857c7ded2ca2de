#ifndef VERBENALEAD_DAEMON_ENTRY_ACCESS_H_
#define VERBENALEAD_DAEMON_ENTRY_ACCESS_H_

#include <memory>
#include <string>
#include <vector>

#include "base/settings.h"
#include "http/tls_keeper.h"

namespace verbenalead::daemon {

/// Who may speak to an entry, and how: the certificate shown to callers and
/// operators, and the operators' tokens.
class EntryAccess {
 public:
  explicit EntryAccess(const Settings& settings);

  /// Fails if a file is bad, or if the operators' API would stand open: without
  /// tokens it may listen on loopback only.
  AsyncResult<bool> Check() const;
  /// Reads the certificate anew; on failure the earlier one stays in use.
  AsyncResult<bool> Reload();
  /// Null: no TLS.
  std::shared_ptr<const http::TlsKeeper> tls() const { return m_tls; }
  const std::vector<std::string>& tokens() const { return m_tokens; }

 private:
  std::shared_ptr<http::TlsKeeper> m_tls;
  std::vector<std::string> m_tokens;
  AsyncResult<bool> m_read = true;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_ENTRY_ACCESS_H_
