package checker

import "github.com/pomeloferry/pomeloferry/approver"

// checkSigned checks a signed bundle, and its signature if the settings of its
// deployment are given and there are no other faults.
func (d document) checkSigned(deployment *File) ([]Finding, error) {
	result := decode(d, decodeLenient[approver.SignedBundle])
	bundle, ok := d.embeddedBundle()
	if !ok {
		return append(result.findings, d.finding(Fault, bundleKey, "found none, allowed a bundle")), nil
	}
	bundleFindings, err := bundle.checkBundle(deployment)
	if err != nil {
		return nil, err
	}
	settings, err := loadDeployment(deployment)
	if err != nil {
		return nil, err
	}
	out := append(result.findings, bundleFindings...)
	if settings == nil || hasFault(out) {
		return out, nil
	}
	if _, err := settings.Trust.Verify(result.value); err != nil {
		out = append(out, d.finding(Fault, "Signature", err.Error()))
	}
	return out, nil
}
