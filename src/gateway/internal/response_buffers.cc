#include "gateway/internal/response_buffers.h"

#include <utility>

namespace wist {
namespace {

constexpr char kCallers[] = "callers";

}  // namespace

std::unique_ptr<response_buffer> response_buffers::AddGrowing(
    std::string source,
    std::function<void()> on_give_up) {
  const response_number number = memory_.AddGrowing(source);
  holders_[number] = {std::move(source), std::move(on_give_up), {}};
  return std::make_unique<response_buffer>(*this, number);
}

void response_buffers::AddUnsent(const std::shared_ptr<i_channel>& channel,
                                 std::function<void()> on_give_up) {
  if (channel->UnsentBytes() == 0)
    return;
  const auto [known, is_new] = unsent_channels_.try_emplace(channel.get(), 0);
  if (is_new || holders_.at(known->second).channel.expired()) {
    if (!is_new)
      Remove(known->second);
    known->second = memory_.AddComplete(kCallers);
  }
  holders_[known->second] = {kCallers, std::move(on_give_up), channel};
  memory_.SetBytes(known->second, channel->UnsentBytes());
  if (memory_.total_bytes() > memory_.limit_bytes())
    EnforceLimit();
}

bool response_buffers::SetBytes(response_number number, std::size_t bytes) {
  memory_.SetBytes(number, bytes);
  if (memory_.total_bytes() <= memory_.limit_bytes())
    return true;
  EnforceLimit();
  return holders_.contains(number);
}

void response_buffers::Remove(response_number number) {
  memory_.Remove(number);
  holders_.erase(number);
}

void response_buffers::UpdateUnsentBytes() {
  std::erase_if(unsent_channels_, [this](const auto& entry) {
    const auto channel = holders_.at(entry.second).channel.lock();
    const std::size_t bytes = channel ? channel->UnsentBytes() : 0;
    memory_.SetBytes(entry.second, bytes);
    if (bytes > 0)
      return false;
    Remove(entry.second);
    return true;
  });
}

void response_buffers::EnforceLimit() {
  UpdateUnsentBytes();
  while (const auto victim = memory_.ChooseVictim()) {
    const holder ended = std::move(holders_.at(*victim));
    const auto channel = ended.channel.lock();
    if (observer_)
      observer_(ended.source, memory_.BytesOf(*victim), memory_.total_bytes());
    if (channel)
      unsent_channels_.erase(channel.get());
    Remove(*victim);
    if (ended.on_give_up)
      ended.on_give_up();
    if (channel)
      channel->Abort();
  }
}

}  // namespace wist
