#include "oleanderhinge/base/hash.hpp"

#include <boost/crc.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace oleanderhinge::base
{

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed)
{
    // FNV-1a with a final mix, since FNV alone has weak high bits.
    std::uint64_t h = 0xcbf29ce484222325ULL ^ (seed * 0x9e3779b97f4a7c15ULL);
    for (const char c : text) {
        h ^= std::uint8_t(c);
        h *= 0x100000001b3ULL;
    }
    h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9ULL;
    h = (h ^ (h >> 27)) * 0x94d049bb133111ebULL;
    return h ^ (h >> 31);
}

sha256_digest sha256(std::string_view data)
{
    sha256_digest digest{};
    unsigned size = unsigned(digest.size());
    EVP_Digest(
        data.data(), data.size(), digest.data(), &size, EVP_sha256(), nullptr);
    return digest;
}

sha256_digest hmac_sha256(std::string_view key, std::string_view data)
{
    sha256_digest digest{};
    unsigned size = unsigned(digest.size());
    HMAC(
        EVP_sha256(),
        key.data(),
        int(key.size()),
        reinterpret_cast<const unsigned char*>(data.data()),
        data.size(),
        digest.data(),
        &size);
    return digest;
}

bool equal_constant_time(const sha256_digest& a, const sha256_digest& b)
{
    return CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::uint32_t crc32c(std::string_view data)
{
    boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> crc;
    crc.process_bytes(data.data(), data.size());
    return crc.checksum();
}

} // namespace oleanderhinge::base
