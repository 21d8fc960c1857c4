#include "jobs/access.h"

namespace azurespur::jobs {

namespace {

// Reads all bytes of `secret`, whatever the first difference is. A key of
// another length is replaced by `secret` itself to keep the time equal.
bool EqualsInConstantTime(std::string_view secret, std::string_view key) {
  const bool same_size = secret.size() == key.size();
  const std::string_view other = same_size ? key : secret;
  // Volatile, so that the compiler does not end the loop early.
  volatile unsigned char difference = same_size ? 0 : 1;
  for (size_t i = 0; i < secret.size(); ++i) {
    difference = static_cast<unsigned char>(
        difference | static_cast<unsigned char>(secret[i] ^ other[i]));
  }
  return difference == 0;
}

}  // namespace

bool MayAccess(const Caller& caller, std::string_view job_account) {
  if (!caller.restricted) {
    return true;
  }
  return caller.known && (job_account.empty() || job_account == caller.account);
}

const ClientAccount* FindAccount(const CellPolicy& policy,
                                 std::string_view secret) {
  if (secret.empty() || secret.size() > kMaxSecretBytes) {
    return nullptr;
  }
  const AccessKey* match = nullptr;
  for (const AccessKey& key : policy.keys) {
    const bool equal = EqualsInConstantTime(secret, key.secret);
    match = equal ? &key : match;
  }
  if (match == nullptr) {
    return nullptr;
  }
  const auto found = policy.accounts.find(match->account);
  return found == policy.accounts.end() ? nullptr : &found->second;
}

}  // namespace azurespur::jobs
