package placement

import "github.com/granitebay/granitebay/internal/engine"

// DefaultSettings returns settings for the engines that the stand-ins model.
func DefaultSettings() Settings {
	return Settings{
		Speeds: map[engine.Role]Speed{
			engine.RolePrefill: {
				PromptTokensPerSecond: 16000, ChunkTokens: 4096, StepSeconds: 0.021, StepSecondsPerRun: 0.001, Slots: 8,
			},
			engine.RoleDecode: {
				PromptTokensPerSecond: 6000, ChunkTokens: 256, StepSeconds: 0.0152, StepSecondsPerRun: 0.0002, Slots: 64,
			},
		},
		Weights:                map[string]float64{ScoreRole: 4},
		PrefixLoadBound:        1.5,
		HoldUpLimitSeconds:     12,
		MemoryComfort:          0.8,
		MemoryPenaltySeconds:   2,
		RecoveryPenaltySeconds: 0.5,
		OtherZoneSeconds:       0.003,
	}
}

func (s Settings) weight(score string) float64 {
	if weight, found := s.Weights[score]; found {
		return weight
	}
	return 1
}
