#ifndef VERBENALEAD_DAEMON_ENTRY_ACCESS_H_
#define VERBENALEAD_DAEMON_ENTRY_ACCESS_H_

#include <memory>
#include <string>
#include <vector>

#include "base/settings.h"
#include "http/reloadable_tls_context.h"

namespace verbenalead::daemon {

/// Access control of the listeners of an entry: the TLS certificate presented
/// to callers and operators, and the tokens that operators must send.
class EntryAccess {
 public:
  explicit EntryAccess(const Settings& settings);

  /// Fails if a file can't be used, or if the operators' API would be reachable
  /// without authentication: without tokens it may listen on loopback only.
  AsyncResult<bool> Check() const;
  /// Reads the certificate again; on failure the previous one stays in use.
  AsyncResult<bool> Reload();
  /// Null if TLS is not configured.
  std::shared_ptr<const http::ReloadableTlsContext> tls() const {
    return m_tls;
  }
  const std::vector<std::string>& tokens() const { return m_tokens; }

 private:
  std::shared_ptr<http::ReloadableTlsContext> m_tls;
  std::vector<std::string> m_tokens;
  AsyncResult<bool> m_load_result = true;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_ENTRY_ACCESS_H_
