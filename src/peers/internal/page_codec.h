#ifndef PEERS_INTERNAL_PAGE_CODEC_H_
#define PEERS_INTERNAL_PAGE_CODEC_H_

#include <string>

#include "follower/i_async_store.h"

namespace wist {

// Encodes pages for messages between instances. A page that cannot be decoded
// is returned as store_error::unavailable, like an error of the peer that
// sent it.
std::string EncodePage(const range_result& result);
std::string EncodePage(const watch_result& result);
range_result DecodeRangePage(const std::string& bytes);
watch_result DecodeWatchPage(const std::string& bytes);

// Whether the peer states that it is unavailable.
bool IsUnavailablePage(const std::string& bytes);

}  // namespace wist

#endif  // PEERS_INTERNAL_PAGE_CODEC_H_
