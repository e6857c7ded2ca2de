#ifndef VERBENALEAD_PEER_CREDENTIALS_H_
#define VERBENALEAD_PEER_CREDENTIALS_H_

#include <mutex>
#include <string>
#include <vector>

#include "base/failure.h"
#include "wire/request.h"
#include "wire/response_writer.h"

namespace verbenalead::peer {

/// Proves to another of our processes that a message which changes something
/// comes from one that holds the shared key. Not all targets check who gives
/// them an order, so the processes before them must.
///
/// HMAC-SHA256 over method, path, time, a nonce, the fields that say which
/// attempt is meant, and the body's digest; a bearer token would be there for
/// the taking on any link between hosts, which carry no TLS: chunks of weights
/// are checked by their digests, and encrypting them costs a core per
/// 10 Gbit/s. May be used from several threads.
class Credentials {
 public:
  /// With an empty `path` nothing is signed and nothing checked.
  explicit Credentials(std::string path) : m_path(std::move(path)) {}

  /// Reads the keys: the first signs, all are accepted, so that a key can be
  /// replaced host by host. On failure the earlier keys stay.
  AsyncResult<bool> Load();
  /// Adds the proof, unless `request` only reads.
  void Sign(wire::Request& request) const;
  /// True if `request` only reads, or carries a proof not older than a minute.
  bool Accepts(const wire::Request& request) const;

 private:
  std::vector<std::string> Keys() const;

  const std::string m_path;
  mutable std::mutex m_mutex;
  std::vector<std::string> m_keys;
};

/// `handler` for requests that `credentials` accepts; others are refused as not
/// run, and logged.
wire::Handler RequireCredentials(const Credentials& credentials,
                                 wire::Handler handler);

}  // namespace verbenalead::peer

#endif  // VERBENALEAD_PEER_CREDENTIALS_H_
