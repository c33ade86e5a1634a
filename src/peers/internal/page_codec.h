#ifndef PEERS_INTERNAL_PAGE_CODEC_H_
#define PEERS_INTERNAL_PAGE_CODEC_H_

#include <string>

#include "follower/i_async_store.h"

namespace wist {

// Pages as instances tell them to each other. A page that can't be read is a
// fault of the teller.
std::string EncodePage(const range_result& result);
std::string EncodePage(const watch_result& result);
range_result DecodeRangePage(const std::string& bytes);
watch_result DecodeWatchPage(const std::string& bytes);

}  // namespace wist

#endif  // PEERS_INTERNAL_PAGE_CODEC_H_
