#include "http/reloadable_tls_context.h"

#include <boost/asio/ssl/context.hpp>

namespace verbenalead::http {
namespace {

namespace ssl = boost::asio::ssl;

constexpr char kVersion13[] = "1.3";

}  // namespace

AsyncResult<bool> ReloadableTlsContext::Load() {
  auto context = std::make_shared<ssl::context>(ssl::context::tls_server);
  const int min_version =
      m_files.m_min_version == kVersion13 ? TLS1_3_VERSION : TLS1_2_VERSION;
  SSL_CTX_set_min_proto_version(context->native_handle(), min_version);
  boost::system::error_code error;
  context->use_certificate_chain_file(m_files.m_certificate, error);
  if (error) {
    return Failure{FailureCode::kInvalid, "read certificate",
                   m_files.m_certificate, error.message()};
  }
  context->use_private_key_file(m_files.m_key, ssl::context::pem, error);
  if (error) {
    return Failure{FailureCode::kInvalid, "read private key", m_files.m_key,
                   error.message()};
  }
  std::lock_guard lock(m_mutex);
  m_context = std::move(context);
  return true;
}

ReloadableTlsContext::Context ReloadableTlsContext::current() const {
  std::lock_guard lock(m_mutex);
  return m_context;
}

}  // namespace verbenalead::http
