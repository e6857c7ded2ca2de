#include "daemon/entry_access.h"

#include "base/secret.h"

namespace verbenalead::daemon {
namespace {

constexpr char kLoopback[] = "127.";

AsyncResult<bool> CheckOpenListener(const Settings& settings) {
  const Endpoint operators = settings.Address("listen.operators");
  if (operators.address().starts_with(kLoopback) ||
      operators.address() == "::1")
    return true;
  return Failure{FailureCode::kInvalid, "listen for operators",
                 ToString(operators),
                 "without operators.token_file only loopback is allowed"};
}

}  // namespace

EntryAccess::EntryAccess(const Settings& settings) {
  const std::string certificate = settings.Text("tls.certificate_file");
  if (!certificate.empty()) {
    m_tls = std::make_shared<http::ReloadableTlsContext>(
        http::TlsFiles{certificate, settings.Text("tls.key_file"),
                       settings.Text("tls.min_version")});
    m_load_result = m_tls->Load();
  }
  const std::string path = settings.Text("operators.token_file");
  if (path.empty()) {
    if (m_load_result)
      m_load_result = CheckOpenListener(settings);
    return;
  }
  auto tokens = ReadSecrets(path);
  if (tokens)
    m_tokens = std::move(*tokens);
  else
    m_load_result = tokens.error();
}

AsyncResult<bool> EntryAccess::Check() const {
  return m_load_result;
}

AsyncResult<bool> EntryAccess::Reload() {
  if (!m_tls)
    return true;
  return m_tls->Load();
}

}  // namespace verbenalead::daemon
