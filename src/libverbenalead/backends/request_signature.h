#ifndef VERBENALEAD_BACKENDS_REQUEST_SIGNATURE_H_
#define VERBENALEAD_BACKENDS_REQUEST_SIGNATURE_H_

#include <chrono>
#include <string>

#include "backends/signing_key.h"
#include "wire/request.h"

namespace verbenalead::backends {

/// Signs `request` by AWS Signature Version 4 as published: adds `x-amz-date`,
/// `x-amz-content-sha256` and `authorization`. `host` is the value of the Host
/// header, `service` e.g. "dynamodb" or "s3".
void SignRequest(const SigningKey& key,
                 const std::string& service,
                 const std::string& host,
                 std::chrono::system_clock::time_point now,
                 wire::Request& request);

/// The Authorization header for `request`, whose headers (with `host` and
/// `x-amz-date`) are all signed. `payload_digest` is the lower-case hexadecimal
/// SHA-256 of the body.
std::string Authorization(const SigningKey& key,
                          const std::string& service,
                          const wire::Request& request,
                          const std::string& payload_digest);

}  // namespace verbenalead::backends

#endif  // VERBENALEAD_BACKENDS_REQUEST_SIGNATURE_H_
