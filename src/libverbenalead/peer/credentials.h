#ifndef VERBENALEAD_PEER_CREDENTIALS_H_
#define VERBENALEAD_PEER_CREDENTIALS_H_

#include <mutex>
#include <string>
#include <vector>

#include "base/failure.h"
#include "wire/request.h"
#include "wire/response_writer.h"

namespace verbenalead::peer {

/// Authenticates messages between processes of this system: a message that
/// changes state carries a proof that its sender holds the shared key. Some
/// targets don't check who sends them an order, so the processes in front of
/// them must.
///
/// The proof is an HMAC-SHA256 over method, path, time, a nonce, the fields
/// that identify the attempt, and the digest of the body. A bearer token could
/// be read on any link between hosts and used again, because these links don't
/// use TLS: chunks of weights are verified by their digests, and encrypting
/// them would cost a core per 10 Gbit/s. Thread-safe.
class Credentials {
 public:
  /// If `path` is empty, nothing is signed and nothing is checked.
  explicit Credentials(std::string path) : m_path(std::move(path)) {}

  /// Reads the keys. The first key signs and all keys are accepted, so that a
  /// key can be replaced host by host. On failure the previous keys stay in
  /// use.
  AsyncResult<bool> Load();
  /// Adds the proof to `request`, unless it only reads.
  void Sign(wire::Request& request) const;
  /// True if `request` only reads, or carries a valid proof whose time is
  /// within a minute of the current time.
  bool Accepts(const wire::Request& request) const;

 private:
  std::vector<std::string> Keys() const;

  const std::string m_path;
  mutable std::mutex m_mutex;
  std::vector<std::string> m_keys;
};

/// Returns a handler that passes requests that `credentials` accepts to
/// `handler`. It refuses others as not run, and logs them. `credentials` must
/// outlive the result.
wire::Handler RequireCredentials(const Credentials& credentials,
                                 wire::Handler handler);

}  // namespace verbenalead::peer

#endif  // VERBENALEAD_PEER_CREDENTIALS_H_
