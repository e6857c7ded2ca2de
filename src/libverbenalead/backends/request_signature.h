#ifndef VERBENALEAD_BACKENDS_REQUEST_SIGNATURE_H_
#define VERBENALEAD_BACKENDS_REQUEST_SIGNATURE_H_

#include <chrono>
#include <string>

#include "backends/signing_key.h"
#include "wire/request.h"

namespace verbenalead::backends {

/// Signs `request` with AWS Signature Version 4: adds the headers `x-amz-date`,
/// `x-amz-content-sha256` and `authorization`. `host` is the value of the Host
/// header, `service` the name of the service, e.g. "dynamodb" or "s3".
void SignRequest(const SigningKey& key,
                 const std::string& service,
                 const std::string& host,
                 std::chrono::system_clock::time_point now,
                 wire::Request& request);

/// Returns the value of the Authorization header for `request`. All headers of
/// `request` are signed; `host` and `x-amz-date` must be among them.
/// `payload_digest` is the lower-case hexadecimal SHA-256 of the body.
std::string Authorization(const SigningKey& key,
                          const std::string& service,
                          const wire::Request& request,
                          const std::string& payload_digest);

}  // namespace verbenalead::backends

#endif  // VERBENALEAD_BACKENDS_REQUEST_SIGNATURE_H_
