// The controller's model of the images cached on a machine.
#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "core/model/time.h"

namespace bendtide {

/// Models the worker's image cache, which keeps the most recently used images that fit.
class ImageCache {
 public:
  bool contains(const std::string& image) const { return images_.contains(image); }
  /// Records that an image of `gb` gigabytes is used at `now` (steady clock).
  void record_use(const std::string& image, double gb, Micros now) { images_[image] = {now, gb}; }
  void clear() { images_.clear(); }
  /// Drops the least recently used images until the remaining ones fit into the capacity.
  void trim(double capacity_gb) {
    double total = 0;
    for (const auto& [name, image] : images_) total += image.gb;
    while (total > capacity_gb && !images_.empty()) {
      const auto oldest = std::min_element(images_.begin(), images_.end(), [](const auto& a, const auto& b) {
        return a.second.used_at < b.second.used_at;
      });
      total -= oldest->second.gb;
      images_.erase(oldest);
    }
  }

 private:
  struct Image {
    Micros used_at{0};  ///< steady clock
    double gb = 0;
  };
  std::map<std::string, Image> images_;
};

}  // namespace bendtide
