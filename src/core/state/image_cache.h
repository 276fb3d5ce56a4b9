// The images that a machine has cached, as far as its controller knows.
#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "core/model/time.h"

namespace bendtide {

/// A model of the worker's own cache: it keeps the images used last, as many as fit.
class ImageCache {
 public:
  bool contains(const std::string& image) const { return images_.contains(image); }
  /// `now`: steady clock.
  void record_use(const std::string& image, double gb, Micros now) { images_[image] = {now, gb}; }
  void clear() { images_.clear(); }
  /// Drops the images used longest ago until the others fit.
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
